//! Message transport between instances, the table and engines, which loses, delays and duplicates
//! messages.

use rand::RngExt;

use super::DelayedOrder;
use super::World;
use cranereach_core::control::ControlAction;
use cranereach_core::control::IntentRow;
use cranereach_core::control::Order;
use cranereach_core::control::OrderEnd;
use cranereach_core::lease::LeaseRow;
use cranereach_core::ledger::ORDER_LIFETIME_MS;

impl World {
    /// Executes the actions that an instance decided on.
    pub(super) fn execute(&mut self, index: usize, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::WriteLease(write) => {
                    self.write_lease(index, write.expected_version, &write.row);
                }
                ControlAction::Send(order) => self.send(index, &order),
                ControlAction::ReadIntents => self.read_intents(index),
                ControlAction::RecordIntents(row) => self.record_intents(index, row),
                ControlAction::LoadCompleted(_) => {}
            }
        }
    }

    /// Writes the lease row; the answer may get lost.
    fn write_lease(&mut self, index: usize, expected_version: u64, row: &LeaseRow) {
        if !self.table_is_up() {
            return;
        }
        let applied = self.lease.0 == expected_version;
        if applied {
            self.lease = (expected_version + 1, row.clone());
        }
        if self.rng.random_bool(self.faults.lose_table_answer) {
            return;
        }
        let instance = &mut self.instances[index];
        let own_ms = self.now_ms + instance.clock_offset_ms;
        if applied {
            instance
                .control
                .lease_mut()
                .write_applied(own_ms, expected_version + 1, row);
        } else {
            instance.control.lease_mut().write_refused(row);
        }
    }

    /// Reads the intents row.
    fn read_intents(&mut self, index: usize) {
        let is_up = self.table_is_up();
        let instance = &mut self.instances[index];
        if !is_up {
            instance.control.intents_read_failed();
            return;
        }
        instance.intents_version = self.intents.0;
        instance
            .control
            .intents_read(self.now_ms + instance.clock_offset_ms, &self.intents.1);
    }

    /// Writes the intents row and sends the orders that the write allows.
    fn record_intents(&mut self, index: usize, row: IntentRow) {
        let is_up = self.table_is_up();
        let instance = &mut self.instances[index];
        let applied = is_up && self.intents.0 == instance.intents_version;
        if applied {
            instance.intents_version += 1;
            self.intents = (instance.intents_version, row);
        }
        let is_confirmed = applied && !self.rng.random_bool(self.faults.lose_table_answer);
        let orders = instance
            .control
            .intents_recorded(self.now_ms + instance.clock_offset_ms, is_confirmed);
        if !is_confirmed {
            instance.control.invalidate_intents();
        }
        for order in orders {
            self.send(index, &order);
        }
    }

    /// Sends an order, which may get lost, delayed or duplicated.
    fn send(&mut self, index: usize, order: &Order) {
        let instance = &mut self.instances[index];
        let own_ms = self.now_ms + instance.clock_offset_ms;
        let expired = instance
            .control
            .lease()
            .expires_at_ms()
            .is_none_or(|at_ms| own_ms >= at_ms);
        if !self.fenced && expired {
            instance
                .control
                .order_ended(own_ms, &order.worker, order.fence, OrderEnd::NeverSent);
            return;
        }
        if self.rng.random_bool(self.faults.duplicate_order) {
            self.delay(order.clone());
        }
        if self.rng.random_bool(self.faults.lose_order) {
            return self.report_end(index, order, OrderEnd::Unknown);
        }
        if self.rng.random_bool(self.faults.delay_order) {
            self.delay(order.clone());
            return self.report_end(index, order, OrderEnd::Unknown);
        }
        let end = self.deliver_order(order);
        self.report_end(index, order, end);
    }

    /// Schedules an order to arrive late.
    fn delay(&mut self, order: Order) {
        let latest_ms = if self.fenced {
            120_000
        } else {
            ORDER_LIFETIME_MS / 2
        };
        let arrives_at_ms = self.now_ms + self.rng.random_range(100..latest_ms);
        self.delayed_orders.push(DelayedOrder {
            arrives_at_ms,
            order,
        });
    }

    /// Reports to an instance how its order ended.
    fn report_end(&mut self, index: usize, order: &Order, end: OrderEnd) {
        let own_ms = self.now_ms + self.instances[index].clock_offset_ms;
        self.instances[index]
            .control
            .order_ended(own_ms, &order.worker, order.fence, end);
    }
}
