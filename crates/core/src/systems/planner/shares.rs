//! Weighted fair sharing of the slots between customers.

use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::world::World;

/// A customer's demand and allocation.
#[derive(Clone, Copy, Debug)]
struct Share {
    customer: CustomerId,
    weight: u32,
    wanted: u32,
    quota: u32,
    allocated: u32,
}

/// Computes the number of slots of each customer. The first pass shares by weight, up to each
/// customer's quota and demand. The second pass gives the remaining slots to customers whose demand
/// exceeds their quota, since nobody else waits for them.
pub fn allocate_by_weight(
    world: &World,
    wanted_by_customer: &FastMap<CustomerId, u32>,
    capacity: u32,
) -> FastMap<CustomerId, u32> {
    let mut shares: Vec<_> = wanted_by_customer
        .iter()
        .map(|(&id, &wanted)| new_share(world, id, wanted))
        .collect();
    shares.sort_by_key(|share| share.customer);
    let mut remaining = capacity;
    allocate_up_to(&mut shares, &mut remaining, |share| {
        share.wanted.min(share.quota)
    });
    allocate_up_to(&mut shares, &mut remaining, |share| share.wanted);
    shares
        .into_iter()
        .map(|share| (share.customer, share.allocated))
        .collect()
}

fn new_share(world: &World, customer: CustomerId, wanted: u32) -> Share {
    let entry = world
        .config
        .as_ref()
        .and_then(|config| config.customer(customer));
    let weight = entry.map_or(1, |entry| entry.weight);
    let quota = entry
        .and_then(|entry| entry.quota_slots)
        .unwrap_or(u32::MAX);
    Share {
        customer,
        weight,
        wanted,
        quota,
        allocated: 0,
    }
}

/// Allocates the remaining slots one by one, each to the customer with the fewest slots per weight
/// that is still below its limit.
fn allocate_up_to(shares: &mut [Share], remaining: &mut u32, limit: impl Fn(&Share) -> u32) {
    while *remaining > 0 {
        let unsatisfied = shares
            .iter_mut()
            .filter(|share| share.allocated < limit(share));
        let next = unsatisfied.min_by(|a, b| {
            let (a, b) = (per_weight(a), per_weight(b));
            a.total_cmp(&b)
        });
        let Some(share) = next else {
            return;
        };
        share.allocated += 1;
        *remaining -= 1;
    }
}

fn per_weight(share: &Share) -> f64 {
    f64::from(share.allocated) / f64::from(share.weight)
}
