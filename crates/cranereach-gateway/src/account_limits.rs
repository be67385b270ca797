//! Asks the owners of client accounts' limits whether a request may run.
//!
//! See [`cranereach_fleet::limits`]. For an account without a limit no message is sent.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::messages::LimitAsk;
use crate::messages::LimitGrant;
use crate::messages::LimitReturn;
use crate::messages::Message;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use cranereach_fleet::accounts::Account;
use cranereach_fleet::accounts::Limit;
use cranereach_fleet::limits::Decision;
use cranereach_fleet::limits::Grant;
use cranereach_fleet::limits::Ownership;
use cranereach_fleet::limits::PartKey;
use cranereach_fleet::limits::UnitRequest;

/// Timeout for an owner's answer, in milliseconds: about ten times the round-trip time within a
/// region.
const ANSWER_TIMEOUT_MS: u64 = 20;

/// Maximum number of owners asked for one request.
const OWNER_TRY_MAX_COUNT: u32 = 3;

/// Time after the start during which an instance uses the seeds as owners, in milliseconds. It does
/// not know the other instances yet, and instances that start together must not each consider
/// themselves the owner.
const SETTLING_MS: u64 = 1_500;

/// Time for which an instance, or a fleet that has restarted as a whole, counts as starting, in
/// milliseconds: twice the time in which all instances have come to know each other.
const STARTUP_PERIOD_MS: u64 = 2 * SETTLING_MS;

/// Pause before owners that did not answer are asked again, in milliseconds. It spans several
/// rounds of digests while all instances are starting.
const RETRY_DELAY_MS: u64 = 60;

/// Smallest amount that is worth a message back to an owner, in units of the limit.
const MIN_RETURNED_UNITS: f64 = 1.0;

/// Reason why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The account is over its limit; there may be capacity after this time, in milliseconds.
    Beyond(u64),
    /// No owner answered, and the account's recent grants do not cover the request.
    Unknown,
}

/// Amount charged to an account's limit for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    account: u64,
    units: f64,
}

impl Charge {
    /// Gives back the charged units of a request that did not run.
    pub fn give_back(self, node: &Node) {
        give_back(node, self.account, self.units);
    }
}

/// Charges a request to its account's limit.
///
/// If no owner answers, an instance that has just started may ask again until `ask_until_ms`:
/// owners that start at the same time become reachable within some hundred milliseconds.
pub async fn charge(
    node: &Node,
    account: &Account,
    cost: f64,
    ask_until_ms: u64,
) -> Result<Charge, Denied> {
    let Some(limit) = account.limit else {
        return Ok(Charge::default());
    };
    let key = account.key();
    let charge = Charge {
        account: key,
        units: cost,
    };
    let tolerance = node.settings.bounds.tolerance();
    let decision = lock(&node.account_usages).decide(node.now_ms(), key, limit, &tolerance, cost);
    let (request, held) = match decision {
        Decision::Paid => return Ok(charge),
        Decision::Beyond(wait_ms) => return Err(Denied::Beyond(wait_ms)),
        Decision::Ask { request, held } => (request, held),
    };
    let mut reserved = ReservedUnits {
        node,
        account: key,
        units: held,
    };
    let mut grant = ask(node, key, limit, request).await;
    while grant.is_none() && node.up_for_ms() < STARTUP_PERIOD_MS && node.now_ms() < ask_until_ms {
        pause(RETRY_DELAY_MS).await;
        grant = ask(node, key, limit, request).await;
    }
    let now_ms = node.now_ms();
    match grant {
        Some(Grant::Units(units)) => {
            reserved.units = 0.0;
            lock(&node.account_usages).granted(now_ms, key, held + units, cost);
            Ok(charge)
        }
        Some(Grant::After(wait_ms)) => {
            lock(&node.account_usages).refused(now_ms, key, wait_ms);
            Err(Denied::Beyond(wait_ms))
        }
        None if lock(&node.account_usages).may_run_without_owner(now_ms, key, cost) => Ok(charge),
        None => Err(Denied::Unknown),
    }
}

/// Units reserved for a request. Unused units are given back on drop, also if the caller
/// disconnects.
struct ReservedUnits<'a> {
    node: &'a Node,
    account: u64,
    units: f64,
}

impl Drop for ReservedUnits<'_> {
    fn drop(&mut self) {
        if self.units != 0.0 {
            give_back(self.node, self.account, self.units);
        }
    }
}

/// Gives back unused units. What this instance may not keep goes to the owner of a part of the
/// limit. A lost message can only reduce the account's units, never add any.
fn give_back(node: &Node, account: u64, units: f64) {
    let now_ms = node.now_ms();
    let tolerance = node.settings.bounds.tolerance();
    let surplus = lock(&node.account_usages).give_back(now_ms, account, &tolerance, units);
    let limit = limit_of(node, account).filter(|_| surplus >= MIN_RETURNED_UNITS);
    let Some(limit) = limit else {
        return;
    };
    let key = PartKey {
        account,
        part: rand::random::<u32>() % tolerance.part_count(limit),
    };
    let owner = owner_of(node, key);
    if owner == node.own_ip() {
        lock(&node.owned_limits).give_back(now_ms, key, surplus);
        return;
    }
    let returned = LimitReturn {
        account,
        part: key.part,
        units: surplus as f32,
    };
    let address = SocketAddr::from((owner, node.peer_port()));
    node.send_now(address, Message::Returned(returned));
}

/// Takes back units that were granted to a peer and not used.
pub fn take_back(node: &Node, peer: Ipv4Addr, returned: &LimitReturn) {
    if !node.peers().members().is_known(peer) {
        return;
    }
    let key = PartKey {
        account: returned.account,
        part: returned.part,
    };
    let units = f64::from(returned.units);
    lock(&node.owned_limits).give_back(node.now_ms(), key, units);
}

/// Returns the limit of an account in the current configuration.
fn limit_of(node: &Node, account: u64) -> Option<Limit> {
    let configuration = node.configuration()?;
    configuration.accounts.by_key(account)?.limit
}

/// Asks the owners of parts of a limit, one after another, until one grants units. Returns `None`
/// if none of them answers.
async fn ask(node: &Node, account: u64, limit: Limit, request: UnitRequest) -> Option<Grant> {
    let part_count = node.settings.bounds.tolerance().part_count(limit);
    let first_part: u32 = rand::random();
    let mut shortest_wait_ms: Option<u64> = None;
    let mut refused_count = 0;
    for try_number in 0..OWNER_TRY_MAX_COUNT {
        let part = first_part.wrapping_add(try_number) % part_count;
        let key = PartKey { account, part };
        match ask_owner(node, key, limit, request).await {
            Some(Grant::Units(units)) => return Some(Grant::Units(units)),
            Some(Grant::After(wait_ms)) => {
                refused_count += 1;
                shortest_wait_ms =
                    Some(shortest_wait_ms.map_or(wait_ms, |known_ms| known_ms.min(wait_ms)));
            }
            None => {}
        }
        if refused_count >= part_count {
            break;
        }
    }
    shortest_wait_ms.map(Grant::After)
}

/// Asks the owner of one part. Returns `None` if it does not answer.
async fn ask_owner(node: &Node, key: PartKey, limit: Limit, request: UnitRequest) -> Option<Grant> {
    let owner = owner_of(node, key);
    if owner == node.own_ip() {
        return Some(grant_units(node, key, limit, request));
    }
    let mut question = node.limit_questions.open();
    let ask = LimitAsk {
        ticket: question.ticket,
        account: key.account,
        part: key.part,
        least: request.min_units as f32,
        most: request.max_units as f32,
    };
    let address = SocketAddr::from((owner, node.peer_port()));
    node.send_now(address, Message::Limit(ask));
    let deadline = node.instant(node.now_ms() + ANSWER_TIMEOUT_MS);
    let answered = tokio::time::timeout_at(deadline, question.answers.recv()).await;
    let now_ms = node.now_ms();
    let Ok(Some(granted)) = answered else {
        node.peers().members_mut().reply_missed(now_ms, owner);
        return None;
    };
    node.peers().members_mut().reply_received(owner);
    let units = granted.units.map(|units| Grant::Units(f64::from(units)));
    Some(units.unwrap_or(Grant::After(granted.wait_ms)))
}

/// Answers a peer that considers this instance the owner of a part of a limit. Sends no answer if
/// the account is unknown here; the peer then asks another owner.
pub fn answer(node: &Node, peer: SocketAddr, ask: &LimitAsk) {
    let IpAddr::V4(ip) = peer.ip() else { return };
    let limit = limit_of(node, ask.account);
    let Some(limit) = limit.filter(|_| node.peers().members().is_known(ip)) else {
        return;
    };
    let key = PartKey {
        account: ask.account,
        part: ask.part,
    };
    let request = UnitRequest {
        min_units: f64::from(ask.least.max(0.0)),
        max_units: f64::from(ask.most.max(0.0)),
    };
    let (units, wait_ms) = match grant_units(node, key, limit, request) {
        Grant::Units(units) => (Some(units as f32), 0),
        Grant::After(wait_ms) => (None, wait_ms),
    };
    let grant = LimitGrant {
        ticket: ask.ticket,
        units,
        wait_ms,
    };
    node.send_now(peer, Message::Granted(grant));
}

/// Takes units from a part owned by this instance.
fn grant_units(node: &Node, key: PartKey, limit: Limit, request: UnitRequest) -> Grant {
    let tolerance = node.settings.bounds.tolerance();
    let now_ms = node.now_ms();
    let ownership = ownership(node, now_ms, key);
    let mut owned = lock(&node.owned_limits);
    owned.take(now_ms, key, limit, &tolerance, request, ownership)
}

/// Returns this instance's ownership of a part of a limit.
fn ownership(node: &Node, now_ms: u64, key: PartKey) -> Ownership {
    let peers = node.peers();
    let members = peers.members();
    let window_ms = node.settings.bounds.limit_window_s * 1_000.0;
    let is_starting = node.up_for_ms() < STARTUP_PERIOD_MS;
    // Instances that have just started ask the seeds.
    let is_seed_owner = || members.seed_owner(now_ms, key.owner_key()) == Some(node.own_ip());
    let is_own = members.is_own(now_ms, key.owner_key()) || is_starting && is_seed_owner();
    if !is_own {
        Ownership::StandIn
    } else if is_starting && peers.have_all_started_within(now_ms, STARTUP_PERIOD_MS) {
        Ownership::Restarted
    } else if members.unchanged_for_ms(now_ms) as f64 >= window_ms {
        Ownership::Settled
    } else {
        Ownership::Fresh
    }
}

/// Returns the instance that owns a part of a limit.
fn owner_of(node: &Node, key: PartKey) -> Ipv4Addr {
    let now_ms = node.now_ms();
    let peers = node.peers();
    let is_settling = node.up_for_ms() < SETTLING_MS;
    let seed = is_settling.then(|| peers.members().seed_owner(now_ms, key.owner_key()));
    let members = peers.members();
    seed.flatten()
        .unwrap_or_else(|| members.owner(now_ms, key.owner_key()))
}
