//! Messages that the control actor handles.

use xtra::Context;
use xtra::Handler;

use super::Cell;
use super::ControlActor;
use super::POLLED_REPORT_EXPIRY_MS;
use super::PolledReport;
use super::messages::CallEnd;
use super::messages::CellView;
use super::messages::CollectDigestParts;
use super::messages::GetCellViews;
use super::messages::ListChanged;
use super::messages::PeerDigestReceived;
use super::messages::Tick;
use crate::dispatch_actor::CollectDigest;
use cranereach_core::cell::CellId;
use cranereach_core::names::WorkerId;
use cranereach_wire::peer::DigestPart;

impl Handler<ListChanged> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _message: ListChanged, _ctx: &mut Context<Self>) {
        self.assign_cells();
    }
}

impl Handler<Tick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, _ctx: &mut Context<Self>) {
        if let Ok(digest) = self.shared.dispatcher.send(CollectDigest).await {
            self.demand.set_own(self.shared.now_ms(), digest);
        }
        self.tick_cells();
    }
}

impl Handler<PeerDigestReceived> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: PeerDigestReceived, _ctx: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        for part in message.parts {
            match part {
                DigestPart::Demand(demand) => self.demand.set_peer(now_ms, &message.sender, demand),
                DigestPart::Report(report) => self.residents.record_report(now_ms, &report),
                DigestPart::Epoch(cell, epoch) => self.observe_epoch(&cell, epoch),
                _ => {}
            }
        }
    }
}

impl Handler<CollectDigestParts> for ControlActor {
    type Return = Vec<DigestPart>;

    async fn handle(
        &mut self,
        _message: CollectDigestParts,
        _ctx: &mut Context<Self>,
    ) -> Vec<DigestPart> {
        let acting = self
            .cells
            .iter()
            .filter_map(|(id, cell)| Some((id, cell.control.acting_epoch()?)));
        let mut parts: Vec<_> = acting
            .map(|(id, epoch)| DigestPart::Epoch(id.clone(), epoch))
            .collect();
        // Reports of workers that no longer answer this instance are left out.
        let now_ms = self.shared.now_ms();
        let is_fresh = |polled: &&PolledReport| {
            now_ms.saturating_sub(polled.polled_at_ms) < POLLED_REPORT_EXPIRY_MS
        };
        let fresh = self.polled.values().filter(is_fresh);
        parts.extend(fresh.map(|polled| DigestPart::Report(polled.report.clone())));
        parts
    }
}

impl Handler<GetCellViews> for ControlActor {
    type Return = Vec<CellView>;

    async fn handle(&mut self, _message: GetCellViews, _ctx: &mut Context<Self>) -> Vec<CellView> {
        let view = |(id, cell): (&CellId, &Cell)| {
            let committed = |worker: &WorkerId| {
                Some((worker.to_string(), cell.control.committed_bytes(worker)?))
            };
            CellView {
                cell: id.to_string(),
                holder: cell.control.lease().row_holder().map(ToString::to_string),
                is_acting: cell.control.acting_epoch().is_some(),
                moves_count: cell.control.moves_count(),
                committed_bytes: cell.workers.iter().filter_map(committed).collect(),
            }
        };
        self.cells.iter().map(view).collect()
    }
}

impl Handler<CallEnd> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: CallEnd, _ctx: &mut Context<Self>) {
        self.handle_end(message);
    }
}
