//! Adapter for the control interface of an upstream: load reports and orders.

use cranereach_core::control::Order;
use cranereach_core::control::OrderEnd;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
use cranereach_wire::upstream::EngineLoad;
use cranereach_wire::upstream::OrderAnswer;
use cranereach_wire::upstream::OrderRequest;

/// Timeout of a load report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// Timeout of an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 2_000;

/// Client of one worker's control interface.
#[derive(Debug)]
pub struct EngineControl {
    client: JsonClient,
}

impl EngineControl {
    /// Creates a client for `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            client: JsonClient::new(address),
        }
    }

    /// Returns the worker's address.
    pub fn address(&self) -> &str {
        self.client.address()
    }

    /// Fetches the worker's load report.
    pub async fn report(&self) -> Result<EngineLoad, CallError> {
        let response = self.client.get("/load", REPORT_TIMEOUT_MS).await?;
        self.client.read(&response)
    }

    /// Sends an order and returns its outcome.
    pub async fn order(&self, order: &Order) -> OrderEnd {
        let request = OrderRequest {
            boot_id: order.boot_id,
            fence: order.fence,
            kind: order.kind,
            target: order.target.clone(),
            memory_bytes: order.memory_bytes,
        };
        let response = match self
            .client
            .post("/orders", &request, ORDER_TIMEOUT_MS)
            .await
        {
            Ok(response) => response,
            Err(CallError::NotSent { .. } | CallError::NotPermitted { .. }) => {
                return OrderEnd::NeverSent;
            }
            Err(_unanswered) => return OrderEnd::Unknown,
        };
        match self.client.read::<OrderAnswer>(&response) {
            Ok(order_response) if order_response.is_accepted => OrderEnd::Accepted,
            Ok(order_response) => OrderEnd::Refused(order_response.highest),
            Err(_garbled) => OrderEnd::Unknown,
        }
    }
}
