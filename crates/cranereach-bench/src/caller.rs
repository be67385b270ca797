//! HTTP client for one entry instance.

use bytes::Bytes;
use http_body_util::Full;

use cranereach_http::pool::Pool;
use cranereach_standin::load;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;

/// Client of one entry instance, with a pool of keep-alive connections.
#[derive(Debug)]
pub struct Caller {
    pool: Pool<Full<Bytes>>,
}

impl Caller {
    /// Creates a client of the instance at `ip:port`.
    pub(crate) fn new(address: &str) -> Self {
        Self {
            pool: Pool::new(address),
        }
    }

    /// Sends a call and reads the answer to its end.
    pub async fn send(&self, call: &Call) -> Outcome {
        load::send(&self.pool, call).await
    }
}
