//! Polls the platform's instance list and distributes it to the other components.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use xtra::Address;

use crate::config_sync::jittered;
use crate::control_actor::ControlActor;
use crate::control_actor::ListChanged;
use crate::dispatch_actor::WorkersListed;
use crate::platform::list::InstanceList;
use crate::shared::PeerAddress;
use crate::shared::Shared;
use cranereach_core::declarations::PoolKind;
use cranereach_core::dispatch::workers::ListedWorker;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;
use cranereach_core::snapshot::Snapshot;
use cranereach_wire::platform::ListState;
use cranereach_wire::platform::ListedInstance;
use cranereach_wire::platform::Role;

/// Slot count assumed for a worker until its first report.
const SLOTS_BEFORE_REPORT: u32 = 4;

/// Polls the instance list until the process ends.
pub async fn run(shared: Arc<Shared>, control: Address<ControlActor>) {
    let list = InstanceList::new(&shared.settings.platform.instances);
    loop {
        match list.read().await {
            Ok(listed) => publish(&shared, &control, listed).await,
            Err(error) => {
                warn!(shared.log, "failed to read the instance list"; "error" => error.to_string());
                // Publish the last list again: the configured pools may have changed.
                let listed = shared.listed().as_ref().clone();
                publish(&shared, &control, listed).await;
            }
        }
        let pause_ms = jittered(shared.settings.platform.list_every_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Passes the instance list to membership, the upstreams and both actors.
async fn publish(shared: &Shared, control: &Address<ControlActor>, listed: Vec<ListedInstance>) {
    let entries = listed
        .iter()
        .filter(|instance| instance.role == Role::Entry && instance.state == ListState::Live);
    shared
        .membership()
        .set_live(entries.map(|instance| instance.id.clone()).collect());
    let workers = listed
        .iter()
        .filter(|instance| instance.role == Role::Worker);
    let addresses: Vec<_> = workers
        .map(|instance| (worker_id(instance), instance.address.clone()))
        .collect();
    shared.upstreams.set_workers(&addresses);
    let snapshot = shared.snapshot();
    let known_workers = listed
        .iter()
        .filter_map(|instance| listed_worker(&snapshot, instance))
        .collect();
    shared.set_instance_list(listed);
    // Both actors outlive this task, so sending can't fail.
    let _sent = shared.dispatcher.send(WorkersListed(known_workers)).await;
    let _sent = control.send(ListChanged).await;
}

/// Converts a listed worker for the dispatcher; `None` if its pool isn't declared.
fn listed_worker(snapshot: &Snapshot, instance: &ListedInstance) -> Option<ListedWorker> {
    if instance.role != Role::Worker {
        return None;
    }
    let pool = snapshot.pools.get(instance.pool.as_ref()?)?;
    let serves = (pool.kind == PoolKind::Plain).then(|| TargetName::from(pool.name.as_str()));
    Some(ListedWorker {
        worker: worker_id(instance),
        domain: instance.domain.clone(),
        is_leaving: instance.state == ListState::Leaving,
        serves,
        slot_count: SLOTS_BEFORE_REPORT,
    })
}

/// Returns the id of a listed worker.
pub fn worker_id(instance: &ListedInstance) -> WorkerId {
    WorkerId::from(instance.id.as_str())
}

/// Returns the listed entry instances, except this one.
pub fn peers(shared: &Shared) -> Vec<PeerAddress> {
    let own = shared.own_id();
    let listed = shared.listed();
    let by_id: HashMap<_, _> = listed
        .iter()
        .filter(|instance| instance.role == Role::Entry && &instance.id != own)
        .filter_map(|instance| Some((instance.id.clone(), instance.address.parse().ok()?)))
        .collect();
    by_id
        .into_iter()
        .map(|(id, address)| PeerAddress { id, address })
        .collect()
}
