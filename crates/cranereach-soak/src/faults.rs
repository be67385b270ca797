//! Brings one fault about, and writes down whom it struck and for how long.

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
use cranereach_platform::standin::store;
use cranereach_platform::standin::worker::Behaviour;
use cranereach_standin::relay::Passage;

/// Pause between the end of a planned stop and the next start, in milliseconds.
const RESTART_DELAY_MS: u64 = 300;

/// Time for which the store is away before it comes back from a copy, in milliseconds.
const RESTORE_DOWNTIME_MS: u64 = 700;

/// Time until what it has lost is written again, in milliseconds.
const REWRITE_DELAY_MS: u64 = 1_500;

/// Time that a gateway has been frozen for when a key is taken away, in milliseconds.
const REVOKE_DELAY_MS: u64 = 100;

/// Everybody that faults can strike.
#[derive(Debug)]
pub struct TestBed {
    /// Gateways.
    pub gateways: Vec<Arc<Gateway>>,
    /// Store and workers.
    pub back_ends: BackEnds,
    /// Where all is written down.
    pub journal: Arc<Journal>,
}

/// Brings a fault about and waits until it is over.
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
        Fault::StoreLink(passage) => impair_store_links(test_bed, &[target], passage, for_ms).await,
        Fault::CutRegion => {
            let (_domain, region) = DOMAINS[DOMAINS.len() - 1];
            let cut: Vec<usize> = (0..gateways.len())
                .filter(|gateway| gateways::domain_and_region_of(*gateway).1 == region)
                .collect();
            impair_store_links(test_bed, &cut, Passage::Held, for_ms).await;
        }
        Fault::WorkerLink(passage) => {
            back_ends.set_worker_link(target, passage);
            pause(for_ms).await;
            back_ends.set_worker_link(target, Passage::Open);
            journal.record_disturbance(Component::Worker(target), false, from_ms);
        }
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
            let all = back_ends.slots_of(target);
            impair_workers(test_bed, &all, Behaviour::Sheds, for_ms / 2).await;
        }
        Fault::WorkerCrashes => {
            back_ends.crash(target, for_ms / 2, journal).await;
            journal.record_disturbance(Component::Worker(target), false, from_ms);
        }
        Fault::WorkerLeaves => back_ends.leave(target, journal).await,
        Fault::Move => {
            let service = back_ends.move_route().to_owned();
            let at_ms = journal.now_ms();
            journal.record_event(Event::Moved { service, at_ms });
        }
        Fault::Revoke => revoke(test_bed, FIRST_REVOCABLE + target),
        Fault::Evacuate => evacuate(test_bed, target, for_ms).await,
    }
}

/// Lets the store come back from a copy of an age, silent for a moment before; operator
/// and workers write again a while later what it has lost.
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

/// Freezes a gateway for a time.
async fn freeze(test_bed: &TestBed, gateway: usize, for_ms: u64) {
    let from_ms = test_bed.journal.now_ms();
    test_bed.gateways[gateway].signal("STOP").await;
    pause(for_ms).await;
    test_bed.gateways[gateway].signal("CONT").await;
    record_interruption(test_bed, gateway, from_ms);
}

/// Notes that a gateway stood still or was started again.
fn record_interruption(test_bed: &TestBed, gateway: usize, from_ms: u64) {
    let journal = &test_bed.journal;
    journal.record_disturbance(Component::Gateway(gateway), false, from_ms);
    journal.record_event(Event::Stood {
        gateway,
        from_ms,
        to_ms: journal.now_ms(),
    });
}

/// Takes a key away.
fn revoke(test_bed: &TestBed, key: usize) {
    let was_in_force = test_bed.back_ends.revoke(key);
    let at_ms = test_bed.journal.now_ms();
    if was_in_force {
        test_bed.journal.record_event(Event::Revoked { key, at_ms });
    }
}

/// Asks for an evacuation, unless one of that domain is under way, and takes it back.
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

/// Stops a gateway as planned and starts it again.
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
        eprintln!("gateway {gateway}: still there at the end of its grace time, killed");
    }
    journal.record_disturbance(Component::Gateway(gateway), true, from_ms);
    journal.record_event(Event::Stood {
        gateway,
        from_ms,
        to_ms: journal.now_ms(),
    });
}

/// Starts a gateway that ended.
async fn restart(gateway: &Gateway) {
    if let Err(error) = gateway.start().await {
        // The watch over the processes counts it as one that ended by itself.
        eprintln!("{error}");
    }
}

/// Sets what links to the store pass, for a time.
async fn impair_store_links(test_bed: &TestBed, gateways: &[usize], passage: Passage, for_ms: u64) {
    let from_ms = test_bed.journal.now_ms();
    for gateway in gateways {
        test_bed.back_ends.store_links[*gateway].set(passage);
    }
    pause(for_ms).await;
    for gateway in gateways {
        test_bed.back_ends.store_links[*gateway].set(Passage::Open);
        let whom = Component::Gateway(*gateway);
        test_bed.journal.record_disturbance(whom, false, from_ms);
    }
}

/// Makes workers do something with requests, for a time.
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

/// Waits for a time.
pub async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
