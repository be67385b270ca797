//! Authentication: finds the client account that a request's key belongs to.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::HeaderMap;

use crate::node::Node;
use crate::node::lock;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::accounts::Account;
use cranereach_fleet::configuration::Configuration;
use cranereach_fleet::configuration::Route;
use cranereach_http::bearer::bearer;

/// Longest time that a request with an unknown key waits for a newer configuration that peers
/// have announced and that is being fetched, in milliseconds.
const NEWER_CONFIGURATION_WAIT_MS: u64 = 400;

/// Finds the client account of a request; `None` if the route needs no key or no accounts are
/// configured.
pub async fn authenticate(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Account>>, ResultCode> {
    if route.is_anonymous || !configuration.accounts.are_declared() {
        return Ok(None);
    }
    let secret = bearer(headers).ok_or(ResultCode::Unauthenticated)?;
    if !node.may_serve_keys() {
        return Err(ResultCode::ConfigUnknown);
    }
    if let Some(account) = configuration.accounts.by_secret(secret) {
        return Ok(Some(Arc::clone(account)));
    }
    if let Some(newer) = newer_configuration(node, configuration.version).await
        && let Some(account) = newer.accounts.by_secret(secret)
    {
        return Ok(Some(Arc::clone(account)));
    }
    Err(refusal_code(node, ResultCode::Unauthenticated))
}

/// Returns the code of a refusal that depends on the configuration. If the configuration may be
/// out of date, the request may be valid, and the code is `ConfigUnknown`.
fn refusal_code(node: &Node, code: ResultCode) -> ResultCode {
    let bound_ms = node.settings.bounds.configuration_ms;
    if lock(&node.proof).may_be_behind(node.now_ms(), bound_ms) {
        ResultCode::ConfigUnknown
    } else {
        code
    }
}

/// Describes for the log what the rejection of a key was based on: when the configuration was
/// last proved to be the newest, and the newest version that peers have announced.
pub fn rejection_context(node: &Node) -> String {
    let age_ms = lock(&node.proof).age_ms(node.now_ms());
    let age = age_ms.map_or("never".to_owned(), |age_ms| format!("{age_ms} ms ago"));
    let announced = node.configuration_heard.load(Ordering::Acquire);
    format!(
        "key not accepted; configuration last proved newest: {age}; newest announced: {announced}"
    )
}

/// Waits for a newer configuration that peers have announced. Returns `None` if there is none or
/// it does not arrive in time. Requests that cannot be served cause no call to the store.
async fn newer_configuration(node: &Node, than_version: u64) -> Option<Arc<Configuration>> {
    let is_newer = |known: &Arc<Configuration>| known.version > than_version;
    let until_ms = node.now_ms() + NEWER_CONFIGURATION_WAIT_MS;
    loop {
        let changed = node.configuration_changed.notified();
        if let Some(newer) = node.configuration().filter(is_newer) {
            return Some(newer);
        }
        if node.configuration_heard.load(Ordering::Acquire) <= than_version {
            return None;
        }
        let waited = tokio::time::timeout_at(node.instant(until_ms), changed).await;
        waited.ok()?;
    }
}
