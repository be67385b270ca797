//! Injects faults, and records which component each one disturbed and for how long.

use std::sync::Arc;
use std::time::Duration;

use crate::back_ends::BackEnds;
use crate::gateways;
use crate::gateways::Gateway;
use crate::journal::Journal;
use crate::record::Component;
use crate::record::Event;
use crate::schedule::DOMAINS;
use crate::schedule::FIRST_REVOCABLE;
use crate::schedule::Fault;
use crate::schedule::KEYS;
use crate::schedule::Step;
use cranereach_platform::standin::ending::Ending;
use cranereach_platform::standin::store;
use cranereach_platform::standin::worker::Behaviour;
use cranereach_standin::relay::LinkMode;

/// Pause between a planned stop and the restart, in milliseconds.
const RESTART_DELAY_MS: u64 = 300;

/// Time for which the store answers nothing before it is restored from a backup, in milliseconds.
const RESTORE_DOWNTIME_MS: u64 = 700;

/// Time after a restore at which the lost rows are written again, in milliseconds.
const REWRITE_DELAY_MS: u64 = 1_500;

/// Time between freezing a gateway and revoking a key, in milliseconds.
const REVOKE_DELAY_MS: u64 = 100;

/// Everything that faults can affect, and the journal.
#[derive(Debug)]
pub struct TestBed {
    /// Gateways.
    pub gateways: Vec<Arc<Gateway>>,
    /// Store and workers.
    pub back_ends: BackEnds,
    /// Journal of the run.
    pub journal: Arc<Journal>,
}

/// Injects a fault and waits until it is over.
pub async fn inject(test_bed: &TestBed, step: Step) {
    let Step {
        fault,
        target,
        for_ms,
        ..
    } = step;
    let TestBed {
        gateways,
        back_ends,
        journal,
    } = test_bed;
    let from_ms = journal.now_ms();
    match fault {
        Fault::Freeze => freeze(test_bed, target, for_ms).await,
        Fault::FreezeOverRevocation => {
            let key = FIRST_REVOCABLE + target % (KEYS.len() - FIRST_REVOCABLE);
            let revoking = async {
                pause(REVOKE_DELAY_MS).await;
                revoke(test_bed, key);
            };
            tokio::join!(freeze(test_bed, target, REVOKE_DELAY_MS + for_ms), revoking);
        }
        Fault::Kill => {
            gateways[target].kill().await;
            pause(for_ms / 2).await;
            restart(&gateways[target]).await;
            record_interruption(test_bed, target, from_ms);
        }
        Fault::Stop => stop(test_bed, target).await,
        Fault::Reload => gateways[target].signal("HUP").await,
        Fault::StoreLink(mode) => impair_store_links(test_bed, &[target], mode, for_ms).await,
        Fault::CutRegion => {
            let (_domain, region) = DOMAINS[DOMAINS.len() - 1];
            let cut_gateways: Vec<usize> = (0..gateways.len())
                .filter(|gateway| gateways::domain_and_region_of(*gateway).1 == region)
                .collect();
            impair_store_links(test_bed, &cut_gateways, LinkMode::Held, for_ms).await;
        }
        Fault::WorkerLink(mode) => {
            impair_worker_link(test_bed, target, mode, for_ms).await;
        }
        Fault::PathCut(mode) => {
            let (worker, gateway) = (target / gateways.len(), target % gateways.len());
            cut_paths(test_bed, gateway, &[worker], mode, for_ms).await;
        }
        Fault::Isolation(mode) => isolate(test_bed, target, mode, for_ms).await,
        Fault::Store(fault) => {
            back_ends.store.set_fault(fault);
            pause(for_ms).await;
            back_ends.store.set_fault(store::Fault::None);
            journal.record_disturbance(Component::Store, false, from_ms);
        }
        Fault::StoreForgets => {
            back_ends.store.forget_history();
            journal.record_disturbance(Component::Store, false, from_ms);
        }
        Fault::StoreRestored => restore(test_bed, for_ms).await,
        Fault::Worker(behaviour) => impair_workers(test_bed, &[target], behaviour, for_ms).await,
        Fault::ServiceFull => {
            let all_slots = back_ends.slots_of(target);
            impair_workers(test_bed, &all_slots, Behaviour::Sheds, for_ms / 2).await;
        }
        Fault::WorkerCrashes => {
            back_ends.crash(target, for_ms / 2, journal).await;
            journal.record_disturbance(Component::Worker(target), false, from_ms);
        }
        Fault::WorkerLeaves => back_ends.leave(target, journal).await,
        Fault::BodyEnds(ending) => {
            back_ends.end_bodies(target, ending);
            pause(for_ms).await;
            back_ends.end_bodies(target, Ending::default());
            journal.record_disturbance(Component::Worker(target), false, from_ms);
        }
        Fault::Release => back_ends.release(target, for_ms, journal).await,
        Fault::Move => {
            let service = back_ends.move_route().to_owned();
            let at_ms = journal.now_ms();
            journal.record_event(Event::Moved { service, at_ms });
        }
        Fault::Revoke => revoke(test_bed, FIRST_REVOCABLE + target),
        Fault::Evacuate => evacuate(test_bed, target, for_ms).await,
    }
}

/// Restores the store from a backup that is `age_ms` old, after a short time in which it answers
/// nothing. The operator and the workers write the lost rows again some time later.
async fn restore(test_bed: &TestBed, age_ms: u64) {
    let store = &test_bed.back_ends.store;
    let backup_version = store.version();
    pause(age_ms).await;
    let from_ms = test_bed.journal.now_ms();
    store.set_fault(store::Fault::Silent);
    pause(RESTORE_DOWNTIME_MS).await;
    let lost = store.restore(backup_version);
    store.set_fault(store::Fault::None);
    pause(REWRITE_DELAY_MS).await;
    store.rewrite_lost_rows(lost);
    test_bed
        .journal
        .record_disturbance(Component::Store, false, from_ms);
}

/// Freezes a gateway for `for_ms`.
async fn freeze(test_bed: &TestBed, gateway: usize, for_ms: u64) {
    let from_ms = test_bed.journal.now_ms();
    test_bed.gateways[gateway].signal("STOP").await;
    pause(for_ms).await;
    test_bed.gateways[gateway].signal("CONT").await;
    record_interruption(test_bed, gateway, from_ms);
}

/// Records that a gateway was frozen or restarted.
fn record_interruption(test_bed: &TestBed, gateway: usize, from_ms: u64) {
    let journal = &test_bed.journal;
    journal.record_disturbance(Component::Gateway(gateway), false, from_ms);
    journal.record_event(Event::Stood {
        gateway,
        from_ms,
        to_ms: journal.now_ms(),
    });
}

/// Revokes a key.
fn revoke(test_bed: &TestBed, key: usize) {
    let was_valid = test_bed.back_ends.revoke(key);
    let at_ms = test_bed.journal.now_ms();
    if was_valid {
        test_bed.journal.record_event(Event::Revoked { key, at_ms });
    }
}

/// Requests an evacuation and cancels it after `for_ms`. Does nothing if that domain is already
/// being evacuated.
async fn evacuate(test_bed: &TestBed, domain: usize, for_ms: u64) {
    if !test_bed.back_ends.evacuate(domain) {
        return;
    }
    let from_ms = test_bed.journal.now_ms();
    pause(for_ms).await;
    let to_ms = test_bed.journal.now_ms();
    test_bed.back_ends.cancel_evacuation(domain);
    test_bed.journal.record_event(Event::Evacuated {
        domain,
        from_ms,
        to_ms,
    });
}

/// Stops a gateway in an orderly way and restarts it.
async fn stop(test_bed: &TestBed, gateway: usize) {
    let journal = &test_bed.journal;
    let from_ms = journal.now_ms();
    journal.record_event(Event::StopAsked {
        gateway,
        at_ms: from_ms,
    });
    let was_in_time = test_bed.gateways[gateway].stop().await;
    pause(RESTART_DELAY_MS).await;
    restart(&test_bed.gateways[gateway]).await;
    if !was_in_time {
        eprintln!("gateway {gateway}: still running at the end of its grace time; killed");
    }
    journal.record_disturbance(Component::Gateway(gateway), true, from_ms);
    journal.record_event(Event::Stood {
        gateway,
        from_ms,
        to_ms: journal.now_ms(),
    });
}

/// Restarts a gateway that has ended.
async fn restart(gateway: &Gateway) {
    if let Err(error) = gateway.start().await {
        // The watcher of the processes records it as one that exited on its own.
        eprintln!("{error}");
    }
}

/// Sets what the gateways' links to the store pass, for `for_ms`.
async fn impair_store_links(test_bed: &TestBed, gateways: &[usize], mode: LinkMode, for_ms: u64) {
    let from_ms = test_bed.journal.now_ms();
    for gateway in gateways {
        test_bed.back_ends.store_links[*gateway].set(mode);
    }
    pause(for_ms).await;
    for gateway in gateways {
        test_bed.back_ends.store_links[*gateway].set(LinkMode::Open);
        let component = Component::Gateway(*gateway);
        test_bed
            .journal
            .record_disturbance(component, false, from_ms);
    }
}

/// Impairs the link between all gateways and a worker, for `for_ms`.
async fn impair_worker_link(test_bed: &TestBed, worker: usize, mode: LinkMode, for_ms: u64) {
    let TestBed {
        back_ends, journal, ..
    } = test_bed;
    let from_ms = journal.now_ms();
    back_ends.set_worker_link(worker, mode);
    pause(for_ms).await;
    back_ends.set_worker_link(worker, LinkMode::Open);
    if mode == LinkMode::Cut {
        let to_ms = journal.now_ms();
        journal.record_event(Event::LinkCut {
            worker,
            from_ms,
            to_ms,
        });
    }
    journal.record_disturbance(Component::Worker(worker), false, from_ms);
}

/// Cuts a gateway off from all workers, for `for_ms`.
async fn isolate(test_bed: &TestBed, gateway: usize, mode: LinkMode, for_ms: u64) {
    let from_ms = test_bed.journal.now_ms();
    let all_slots = test_bed.back_ends.all_slots();
    cut_paths(test_bed, gateway, &all_slots, mode, for_ms).await;
    let to_ms = test_bed.journal.now_ms();
    test_bed.journal.record_event(Event::Isolated {
        gateway,
        from_ms,
        to_ms,
    });
}

/// Cuts the paths from a gateway to workers, for `for_ms`. A worker that is replaced meanwhile can
/// be reached.
async fn cut_paths(
    test_bed: &TestBed,
    gateway: usize,
    workers: &[usize],
    mode: LinkMode,
    for_ms: u64,
) {
    let from_ms = test_bed.journal.now_ms();
    for worker in workers {
        test_bed.back_ends.set_path(gateway, *worker, mode);
    }
    pause(for_ms).await;
    for worker in workers {
        test_bed
            .back_ends
            .set_path(gateway, *worker, LinkMode::Open);
        let path = Component::Path {
            gateway,
            worker: *worker,
        };
        test_bed.journal.record_disturbance(path, false, from_ms);
        if mode == LinkMode::Unreachable {
            let held = Component::HeldPath { worker: *worker };
            test_bed.journal.record_disturbance(held, false, from_ms);
        }
    }
}

/// Sets how workers handle requests, for `for_ms`.
async fn impair_workers(test_bed: &TestBed, workers: &[usize], behaviour: Behaviour, for_ms: u64) {
    let from_ms = test_bed.journal.now_ms();
    for worker in workers {
        test_bed.back_ends.set_behaviour(*worker, behaviour);
    }
    pause(for_ms).await;
    for worker in workers {
        test_bed.back_ends.set_behaviour(*worker, Behaviour::Serves);
        test_bed
            .journal
            .record_disturbance(Component::Worker(*worker), false, from_ms);
    }
}

/// Sleeps for `pause_ms`.
pub async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
