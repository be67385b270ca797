//! Effects of orders on what a worker holds.

use crate::placement::Order;
use crate::worker_view::ModelReplica;

/// Applies the effect of an order; memory is counted at its maximum during the order.
pub(super) fn apply(replicas: &mut Vec<ModelReplica>, order: Order) {
    let of_model =
        |replicas: &mut Vec<ModelReplica>, model: u16, change: &dyn Fn(&mut ModelReplica)| {
            for replica in replicas.iter_mut().filter(|replica| replica.model == model) {
                change(replica);
            }
        };
    match order {
        Order::Load(model) => replicas.push(ModelReplica {
            model,
            is_loading: true,
            ..ModelReplica::default()
        }),
        Order::Unload(model) => of_model(replicas, model, &|replica| replica.is_unloading = true),
        Order::LoadAdapter((model, adapter)) => {
            of_model(replicas, model, &|replica| replica.adapters.push(adapter));
        }
        Order::UnloadAdapter((model, adapter)) => {
            of_model(replicas, model, &|replica| {
                replica.adapters.retain(|held| *held != adapter);
            });
        }
    }
}

/// Returns whether a state shows that an order is done.
pub(super) fn is_done(order: Order, replicas: &[ModelReplica]) -> bool {
    let holds = |model: u16| replicas.iter().any(|replica| replica.model == model);
    match order {
        Order::Load(model) => holds(model),
        Order::Unload(model) => !holds(model),
        Order::LoadAdapter(_) | Order::UnloadAdapter(_) => true,
    }
}
