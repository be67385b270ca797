//! Effects of orders on what a worker holds.

use crate::placement::ModelReplica;
use crate::placement::Order;

/// Applies the effect of an order; memory is counted at its maximum during the order.
pub(super) fn apply(places: &mut Vec<ModelReplica>, order: Order) {
    let of_model =
        |places: &mut Vec<ModelReplica>, model: u16, change: &dyn Fn(&mut ModelReplica)| {
            for place in places.iter_mut().filter(|place| place.model == model) {
                change(place);
            }
        };
    match order {
        Order::Load(model) => places.push(ModelReplica {
            model,
            is_loading: true,
            ..ModelReplica::default()
        }),
        Order::Unload(model) => of_model(places, model, &|place| place.is_unloading = true),
        Order::LoadAdapter((model, adapter)) => {
            of_model(places, model, &|place| place.adapters.push(adapter));
        }
        Order::UnloadAdapter((model, adapter)) => {
            of_model(places, model, &|place| {
                place.adapters.retain(|held| *held != adapter);
            });
        }
    }
}

/// Returns whether a state shows that an order is done.
pub(super) fn is_done(order: Order, places: &[ModelReplica]) -> bool {
    let holds = |model: u16| places.iter().any(|place| place.model == model);
    match order {
        Order::Load(model) => holds(model),
        Order::Unload(model) => !holds(model),
        Order::LoadAdapter(_) | Order::UnloadAdapter(_) => true,
    }
}
