//! Brings one fault about, and writes down whom it struck and for how long.

use std::sync::Arc;
use std::time::Duration;

use crate::back_ends::BackEnds;
use crate::gateways;
use crate::gateways::Gateway;
use crate::journal::Journal;
use crate::record::Event;
use crate::record::Whom;
use crate::schedule::DOMAINS;
use crate::schedule::FIRST_REVOCABLE;
use crate::schedule::Fault;
use crate::schedule::KEYS;
use crate::schedule::Step;
use cranereach_platform::standin::store;
use cranereach_platform::standin::worker::Behaviour;
use cranereach_standin::relay::Passage;

/// Pause between the end of a planned stop and the next start, in milliseconds.
const RESTARTS_AFTER_MS: u64 = 300;

/// Time for which the store is away before it comes back from a copy, in milliseconds.
const RESTORED_WITHIN_MS: u64 = 700;

/// Time until what it has lost is written again, in milliseconds.
const WRITTEN_AGAIN_AFTER_MS: u64 = 1_500;

/// Time that a gateway has been frozen for when a key is taken away, in milliseconds.
const TAKEN_AFTER_MS: u64 = 100;

/// Everybody that faults can strike.
#[derive(Debug)]
pub struct Parts {
    /// Gateways.
    pub gateways: Vec<Arc<Gateway>>,
    /// Store and workers.
    pub back_ends: BackEnds,
    /// Where all is written down.
    pub journal: Arc<Journal>,
}

/// Brings a fault about and waits until it is over.
pub async fn strike(parts: &Parts, step: Step) {
    let Step {
        fault,
        target,
        for_ms,
        ..
    } = step;
    let Parts {
        gateways,
        back_ends,
        journal,
    } = parts;
    let from_ms = journal.now_ms();
    match fault {
        Fault::Freeze => freeze(parts, target, for_ms).await,
        Fault::FreezeOverRevocation => {
            let key = FIRST_REVOCABLE + target % (KEYS.len() - FIRST_REVOCABLE);
            let taking = async {
                pause(TAKEN_AFTER_MS).await;
                revoke(parts, key);
            };
            tokio::join!(freeze(parts, target, TAKEN_AFTER_MS + for_ms), taking);
        }
        Fault::Kill => {
            gateways[target].kill().await;
            pause(for_ms / 2).await;
            restart(&gateways[target]).await;
            note_stood(parts, target, from_ms);
        }
        Fault::Stop => stop(parts, target).await,
        Fault::Reload => gateways[target].signal("HUP").await,
        Fault::StoreLink(passage) => store_links(parts, &[target], passage, for_ms).await,
        Fault::CutRegion => {
            let (_domain, region) = DOMAINS[DOMAINS.len() - 1];
            let cut: Vec<usize> = (0..gateways.len())
                .filter(|gateway| gateways::place_of(*gateway).1 == region)
                .collect();
            store_links(parts, &cut, Passage::Held, for_ms).await;
        }
        Fault::WorkerLink(passage) => {
            back_ends.set_worker_link(target, passage);
            pause(for_ms).await;
            back_ends.set_worker_link(target, Passage::Open);
            journal.trouble(Whom::Worker(target), false, from_ms);
        }
        Fault::Store(fault) => {
            back_ends.store.set_fault(fault);
            pause(for_ms).await;
            back_ends.store.set_fault(store::Fault::None);
            journal.trouble(Whom::Store, false, from_ms);
        }
        Fault::StoreForgets => {
            back_ends.store.forget_history();
            journal.trouble(Whom::Store, false, from_ms);
        }
        Fault::StoreRestored => restore(parts, for_ms).await,
        Fault::Worker(behaviour) => workers_do(parts, &[target], behaviour, for_ms).await,
        Fault::ServiceFull => {
            let all = back_ends.places_of(target);
            workers_do(parts, &all, Behaviour::Sheds, for_ms / 2).await;
        }
        Fault::WorkerCrashes => {
            back_ends.crash(target, for_ms / 2, journal).await;
            journal.trouble(Whom::Worker(target), false, from_ms);
        }
        Fault::WorkerLeaves => back_ends.leave(target, journal).await,
        Fault::Move => {
            let service = back_ends.move_route().to_owned();
            let at_ms = journal.now_ms();
            journal.event(Event::Moved { service, at_ms });
        }
        Fault::Revoke => revoke(parts, FIRST_REVOCABLE + target),
        Fault::Evacuate => evacuate(parts, target, for_ms).await,
    }
}

/// Lets the store come back from a copy of an age, silent for a moment before; operator
/// and workers write again a while later what it has lost.
async fn restore(parts: &Parts, age_ms: u64) {
    let store = &parts.back_ends.store;
    let copied = store.version();
    pause(age_ms).await;
    let from_ms = parts.journal.now_ms();
    store.set_fault(store::Fault::Silent);
    pause(RESTORED_WITHIN_MS).await;
    let lost = store.restore(copied);
    store.set_fault(store::Fault::None);
    pause(WRITTEN_AGAIN_AFTER_MS).await;
    store.rewrite_lost_rows(lost);
    parts.journal.trouble(Whom::Store, false, from_ms);
}

/// Freezes a gateway for a time.
async fn freeze(parts: &Parts, gateway: usize, for_ms: u64) {
    let from_ms = parts.journal.now_ms();
    parts.gateways[gateway].signal("STOP").await;
    pause(for_ms).await;
    parts.gateways[gateway].signal("CONT").await;
    note_stood(parts, gateway, from_ms);
}

/// Notes that a gateway stood still or was started again.
fn note_stood(parts: &Parts, gateway: usize, from_ms: u64) {
    let journal = &parts.journal;
    journal.trouble(Whom::Gateway(gateway), false, from_ms);
    journal.event(Event::Stood {
        gateway,
        from_ms,
        to_ms: journal.now_ms(),
    });
}

/// Takes a key away.
fn revoke(parts: &Parts, key: usize) {
    let was_in_force = parts.back_ends.revoke(key);
    let at_ms = parts.journal.now_ms();
    if was_in_force {
        parts.journal.event(Event::Revoked { key, at_ms });
    }
}

/// Asks for an evacuation, unless one of that domain is under way, and takes it back.
async fn evacuate(parts: &Parts, domain: usize, for_ms: u64) {
    if !parts.back_ends.evacuate(domain) {
        return;
    }
    let from_ms = parts.journal.now_ms();
    pause(for_ms).await;
    let to_ms = parts.journal.now_ms();
    parts.back_ends.take_evacuation_back(domain);
    parts.journal.event(Event::Evacuated {
        domain,
        from_ms,
        to_ms,
    });
}

/// Stops a gateway as planned and starts it again.
async fn stop(parts: &Parts, gateway: usize) {
    let journal = &parts.journal;
    let from_ms = journal.now_ms();
    journal.event(Event::StopAsked {
        gateway,
        at_ms: from_ms,
    });
    let was_in_time = parts.gateways[gateway].stop().await;
    pause(RESTARTS_AFTER_MS).await;
    restart(&parts.gateways[gateway]).await;
    if !was_in_time {
        eprintln!("gateway {gateway}: still there at the end of its grace time, killed");
    }
    journal.trouble(Whom::Gateway(gateway), true, from_ms);
    journal.event(Event::Stood {
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
async fn store_links(parts: &Parts, gateways: &[usize], passage: Passage, for_ms: u64) {
    let from_ms = parts.journal.now_ms();
    for gateway in gateways {
        parts.back_ends.store_links[*gateway].set(passage);
    }
    pause(for_ms).await;
    for gateway in gateways {
        parts.back_ends.store_links[*gateway].set(Passage::Open);
        let whom = Whom::Gateway(*gateway);
        parts.journal.trouble(whom, false, from_ms);
    }
}

/// Makes workers do something with requests, for a time.
async fn workers_do(parts: &Parts, workers: &[usize], behaviour: Behaviour, for_ms: u64) {
    let from_ms = parts.journal.now_ms();
    for worker in workers {
        parts.back_ends.set_behaviour(*worker, behaviour);
    }
    pause(for_ms).await;
    for worker in workers {
        parts.back_ends.set_behaviour(*worker, Behaviour::Serves);
        parts.journal.trouble(Whom::Worker(*worker), false, from_ms);
    }
}

/// Waits for a time.
pub async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
