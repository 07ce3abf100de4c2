//! How the slots are shared between customers.

use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::world::World;

/// A customer's part in the sharing.
#[derive(Clone, Copy, Debug)]
struct Share {
    customer: CustomerId,
    weight: u32,
    want: u32,
    quota: u32,
    given: u32,
}

/// Computes the slots of each customer: by weight up to its quota and its want; what is left goes
/// to those that want more than their quota, since nobody else waits for it.
pub fn entitlements(
    world: &World,
    wants: &FastMap<CustomerId, u32>,
    capacity: u32,
) -> FastMap<CustomerId, u32> {
    let mut shares: Vec<_> = wants
        .iter()
        .map(|(&id, &want)| share_of(world, id, want))
        .collect();
    shares.sort_by_key(|share| share.customer);
    let mut left = capacity;
    fill(&mut shares, &mut left, |share| share.want.min(share.quota));
    fill(&mut shares, &mut left, |share| share.want);
    shares
        .into_iter()
        .map(|share| (share.customer, share.given))
        .collect()
}

fn share_of(world: &World, customer: CustomerId, want: u32) -> Share {
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
        want,
        quota,
        given: 0,
    }
}

/// Gives out `left` slots one by one to the customer with the fewest per weight below its limit.
fn fill(shares: &mut [Share], left: &mut u32, limit: impl Fn(&Share) -> u32) {
    while *left > 0 {
        let hungry = shares.iter_mut().filter(|share| share.given < limit(share));
        let next = hungry.min_by(|a, b| {
            let (a, b) = (per_weight(a), per_weight(b));
            a.total_cmp(&b)
        });
        let Some(share) = next else {
            return;
        };
        share.given += 1;
        *left -= 1;
    }
}

fn per_weight(share: &Share) -> f64 {
    f64::from(share.given) / f64::from(share.weight)
}
