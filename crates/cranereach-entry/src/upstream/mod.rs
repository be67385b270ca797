//! Upstreams: connection pools, and the control adapter for model engines.

pub mod engine;

use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use cranereach_core::names::WorkerId;
use cranereach_http::pool::Pool;

/// Body of a request to an upstream.
#[derive(Debug)]
pub enum UpstreamRequestBody {
    /// Buffered, so that it can be sent again.
    Buffered(Full<Bytes>),
    /// Streamed from the caller as it arrives.
    Streamed(Incoming),
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Self::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}

/// Connection pools of all listed upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    pools: RwLock<HashMap<WorkerId, Arc<Pool<UpstreamRequestBody>>>>,
}

impl Upstreams {
    /// Replaces the list of workers and addresses; keeps the pools of unchanged workers.
    pub fn set_workers(&self, listed: &[(WorkerId, String)]) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|id, _| listed.iter().any(|(listed_id, _)| listed_id == id));
        for (id, address) in listed {
            let is_known = pools.get(id).is_some_and(|pool| pool.address() == address);
            if !is_known {
                pools.insert(id.clone(), Arc::new(Pool::new(address)));
            }
        }
    }

    /// Returns the connection pool of a worker.
    pub fn pool(&self, worker: &WorkerId) -> Option<Arc<Pool<UpstreamRequestBody>>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(worker).cloned()
    }
}
