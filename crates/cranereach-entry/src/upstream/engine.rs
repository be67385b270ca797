//! Adapter of an upstream's control interface: load reports and orders.

use cranereach_core::control::Order;
use cranereach_core::control::OrderEnd;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
use cranereach_wire::upstream::EngineLoad;
use cranereach_wire::upstream::OrderAnswer;
use cranereach_wire::upstream::OrderRequest;

/// Time for a report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// Time for the answer to an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 2_000;

/// Client of one worker's control interface.
#[derive(Debug)]
pub struct EngineControl {
    client: JsonClient,
}

impl EngineControl {
    /// Makes a client for `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            client: JsonClient::new(address),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> &str {
        self.client.address()
    }

    /// Asks for the worker's report.
    pub async fn report(&self) -> Result<EngineLoad, CallError> {
        let response = self.client.get("/load", REPORT_TIMEOUT_MS).await?;
        self.client.read(&response)
    }

    /// Sends an order and says how it ended.
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
            Err(CallError::NotSent { .. }) => return OrderEnd::NeverSent,
            Err(_unanswered) => return OrderEnd::Unknown,
        };
        match self.client.read::<OrderAnswer>(&response) {
            Ok(order_response) if order_response.is_accepted => OrderEnd::Accepted,
            Ok(order_response) => OrderEnd::Refused(order_response.highest),
            Err(_garbled) => OrderEnd::Unknown,
        }
    }
}
