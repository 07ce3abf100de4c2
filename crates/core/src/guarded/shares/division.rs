//! Division of the room among queues.

/// Factor on the usual use up to which a queue counts as using what it usually does. Without a margin its
/// jobs would wait whenever their number is above the mean.
const USUAL_MARGIN: f64 = 1.25;
/// Demand below which a claim counts as none, in thousandths of a core.
const MIN_DEMAND: f64 = 1.0;

/// What a queue asks for. Amounts are in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight among the other queues, above 0.
    pub weight: f64,
    /// CPU that it uses and waits for.
    pub demand: f64,
    /// CPU that it uses in the mean over a longer time.
    pub usual: f64,
    /// Maximum that it may get.
    pub limit: f64,
}

impl Claim {
    const fn wanted(&self) -> f64 {
        self.demand.min(self.limit)
    }
}

/// Returns the share of each claim.
///
/// Each one may have its part by weight. What others leave of theirs goes first to those that need more
/// as a rule, up to their usual use, and then to all that want more. So a burst of one queue does
/// not displace another one whose usual use exceeds its part by weight.
#[must_use]
pub fn divide(room: f64, claims: &[Claim]) -> Vec<f64> {
    let active = claims.iter().filter(|claim| claim.demand >= MIN_DEMAND);
    let weights: f64 = active.map(|claim| claim.weight).sum();
    let part = |claim: &Claim| {
        claim
            .wanted()
            .min(room * claim.weight / weights.max(claim.weight))
    };
    let mut shares: Vec<f64> = claims.iter().map(part).collect();
    distribute(room, claims, &mut shares, |claim| {
        claim.wanted().min(claim.usual * USUAL_MARGIN)
    });
    distribute(room, claims, &mut shares, Claim::wanted);
    shares
}

/// Distributes what the shares leave of the room by weight, until each one has `target`.
fn distribute(room: f64, claims: &[Claim], shares: &mut [f64], target: impl Fn(&Claim) -> f64) {
    let mut room_left = room - shares.iter().sum::<f64>();
    let missing = |i: usize, shares: &[f64]| target(&claims[i]) - shares[i];
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.retain(|&i| missing(i, shares) > 0.0);
    let level = |i: usize| missing(i, shares) / claims[i].weight;
    order.sort_by(|&a, &b| level(a).total_cmp(&level(b)));
    let mut weight_left: f64 = order.iter().map(|&i| claims[i].weight).sum();
    for i in order {
        let weight = claims[i].weight;
        let even = (room_left * weight / weight_left).max(0.0);
        let more = missing(i, shares).min(even);
        shares[i] += more;
        room_left -= more;
        weight_left -= weight;
    }
}
