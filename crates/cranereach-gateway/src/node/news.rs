//! What an instance tells its peers at once, its own stop among it.

use std::sync::atomic::Ordering;

use super::Node;
use super::lock;
use crate::recipients::Origin;

impl Node {
    /// Whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Sends a digest at once, since there is news from `origin`.
    pub fn gossip_news(&self, origin: Origin) {
        self.peers().note_news(self.now_ms(), origin);
        self.digest_wanted.notify_one();
    }

    /// Sends the worker list's changes to peers at once, after the list changed or was
    /// confirmed as the newest by `origin`.
    pub fn announce_list(&self, origin: Origin) {
        let mut widest = lock(&self.list_origin);
        *widest = Some(widest.map_or(origin, |before| before.max(origin)));
        self.list_update_wanted.notify_one();
    }

    /// Requests a stop.
    pub fn request_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
        self.gossip_news(Origin::Own);
        self.controller_wanted.notify_one();
    }
}
