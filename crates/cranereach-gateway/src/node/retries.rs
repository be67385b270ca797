//! Retry budgets of services.

use std::sync::Arc;

use super::Node;
use super::lock;
use cranereach_fleet::retry_window::RetryWindow;

impl Node {
    /// Counts a request to a service towards the service's retry budget.
    pub fn note_request(&self, service: &Arc<str>) {
        let now_ms = self.now_ms();
        let bounds = self.settings.bounds;
        let mut retries = lock(&self.retries);
        let window = retries.entry(Arc::clone(service)).or_insert_with(|| {
            RetryWindow::new(
                bounds.retry_ratio,
                bounds.retry_allowance_count,
                (bounds.retry_window_s * 1_000.0) as u64,
            )
        });
        window.request(now_ms);
    }

    /// Spends one retry from a service's retry budget; returns whether one was left.
    pub fn spend_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let instance_count = self.peers().members().known_count();
        let mut retries = lock(&self.retries);
        let window = retries.get_mut(service);
        window.is_some_and(|window| window.spend(now_ms, instance_count))
    }
}
