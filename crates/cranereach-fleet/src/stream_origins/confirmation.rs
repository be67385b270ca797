//! What an instance that has just started learns of the versions that a service had before: from
//! peers, or from the history in the store.

use super::OriginAnswer;
use super::StoreMoment;
use super::StreamOrigins;
use super::VersionHistory;
use super::VersionStatement;
use super::VersionView;

impl StreamOrigins {
    /// Takes the answers of peers on the versions of a service. Returns whether one of them has
    /// watched it for as long as its streams last, and all have seen the same one version as this
    /// instance.
    pub fn confirm(&mut self, now_ms: u64, service: u64, answers: &[OriginAnswer]) -> bool {
        let (VersionView::Started(version) | VersionView::Only(version)) =
            self.view(now_ms, service)
        else {
            return false;
        };
        let agrees = |answer: &OriginAnswer| {
            *answer == OriginAnswer::Only(version) || *answer == OriginAnswer::Started(version)
        };
        let is_confirmed =
            answers.iter().all(agrees) && answers.contains(&OriginAnswer::Only(version));
        if is_confirmed && let Some(watch) = self.watches.get_mut(&service) {
            watch.confirmed(now_ms);
        }
        is_confirmed
    }

    /// Takes the history that is kept in the store, read at a moment of the store. Returns whether
    /// it proves that a service which has not been watched for as long as its streams last has had
    /// the one version that this instance sees.
    pub fn confirm_by_history(
        &mut self,
        now_ms: u64,
        service: u64,
        (read_at, history): (StoreMoment, &VersionHistory),
    ) -> bool {
        let VersionView::Started(version) = self.view(now_ms, service) else {
            return false;
        };
        let Some(watch) = self.watches.get_mut(&service) else {
            return false;
        };
        if !watch.is_ready_for_history(now_ms) {
            return false;
        }
        let proven = history.proven_version(read_at, service, watch.stream_max_ms());
        let is_confirmed = proven == Some(version);
        if is_confirmed {
            watch.confirmed(now_ms);
        }
        is_confirmed
    }

    /// Lists what this instance knows of the versions that services have now, by service. Those of
    /// which its list of workers is not current are missing.
    pub fn statements(&self, now_ms: u64) -> Vec<(u64, VersionStatement)> {
        let watches = self.watches.iter();
        let stated = watches.filter_map(|(service, watch)| {
            let statement = watch.statement(now_ms)?;
            Some((*service, statement))
        });
        let mut stated: Vec<(u64, VersionStatement)> = stated.collect();
        stated.sort_unstable_by_key(|(service, _)| *service);
        stated
    }

    /// Lists the services of [`StreamOrigins::unconfirmed_services`] for which the history that is
    /// kept in the store may be read now.
    pub fn services_for_history(&self, now_ms: u64) -> Vec<u64> {
        let watches = self.watches.iter();
        let ready = watches.filter(|(_, watch)| watch.is_ready_for_history(now_ms));
        ready.map(|(service, _)| *service).collect()
    }

    /// Lists the services that this instance has not watched for as long as their streams last, in
    /// which it has seen one version: peers may know that there was no other.
    pub fn unconfirmed_services(&self, now_ms: u64) -> Vec<u64> {
        let watches = self.watches.iter();
        let unconfirmed = watches
            .filter(|(_, watch)| matches!(watch.view(now_ms), VersionView::Started(_)))
            .map(|(service, _)| *service);
        unconfirmed.collect()
    }
}
