//! The configuration in force at an instance, and the checks on serving by it.

use std::sync::Arc;

use bytes::Bytes;
use slog::info;

use super::Node;
use super::lock;
use crate::adapter::FormatError;
use cranereach_fleet::configuration::Configuration;
use cranereach_fleet::configuration::Service;

impl Node {
    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.configuration).clone()
    }

    /// Returns the version in force; zero if there is none.
    pub fn configuration_version(&self) -> u64 {
        lock(&self.configuration)
            .as_ref()
            .map_or(0, |known| known.version)
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it
    /// did.
    pub fn offer_configuration(&self, body: &Bytes, from: &str) -> Result<bool, FormatError> {
        let offered = (self.adapter.parse_configuration)(body)?;
        // Peers are sent hashes of API keys, never the keys.
        let redacted = (self.adapter.hash_keys)(body)?;
        let version = offered.version;
        let mut configuration = lock(&self.configuration);
        if configuration
            .as_ref()
            .is_some_and(|known| known.version >= offered.version)
        {
            return Ok(false);
        }
        info!(self.log, "configuration in force";
            "version" => offered.version, "from" => from, "routes" => offered.route_count(),
            "accounts" => offered.accounts.count());
        self.metrics
            .configuration_version
            .set(offered.version as i64);
        *configuration = Some(Arc::new(offered));
        drop(configuration);
        *lock(&self.configuration_body) = Bytes::from(redacted);
        lock(&self.proof).record_version(version);
        self.configuration_changed.notify_waiters();
        self.digest_wanted.notify_one();
        Ok(true)
    }

    /// Returns a service of the configuration in force.
    pub fn service(&self, name: &str) -> Option<Arc<Service>> {
        self.configuration()?.services.get(name).cloned()
    }

    /// Whether API keys may be served: under strict revocation, only while the configuration
    /// is proven to have been the newest within the revocation bound.
    pub fn may_serve_keys(&self) -> bool {
        let bounds = self.settings.bounds;
        let is_proven = || lock(&self.proof).is_proven(self.now_ms(), bounds.revocation_ms);
        !bounds.is_revocation_strict || is_proven()
    }

    /// Whether the platform should route callers here.
    ///
    /// Not while the instance is stopping or has withdrawn because of overload, nor while it would
    /// have to refuse every call that carries a key for lack of a recent proof, or every call for
    /// lack of a configuration or worker list.
    pub fn is_ready(&self) -> bool {
        let Some(configuration) = self.configuration() else {
            return false;
        };
        let may_serve = !configuration.accounts.are_declared() || self.may_serve_keys();
        let is_withdrawn = lock(&self.withdrawal).is_withdrawn();
        !self.is_stopping() && !is_withdrawn && may_serve && !self.list_position().is_none()
    }
}
