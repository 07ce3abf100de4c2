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
    /// CPU that it uses and will use for its waiting tasks.
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
    let parts = parts(room, claims);
    let wanted = claims.iter().zip(parts);
    let mut shares: Vec<f64> = wanted
        .map(|(claim, part)| claim.wanted().min(part))
        .collect();
    distribute(room, claims, &mut shares, |claim| {
        claim.wanted().min(claim.usual * USUAL_MARGIN)
    });
    distribute(room, claims, &mut shares, Claim::wanted);
    shares
}

/// Returns up to which use each claim goes first: its share, its part by weight or its usual use if the
/// others leave that of their parts, whichever is most. The sum may exceed the room: queues with short tasks
/// use what they may for moments only, and a queue at its usual use must not wait for each small excess of
/// another.
#[must_use]
pub fn first_limits(room: f64, claims: &[Claim], shares: &[f64]) -> Vec<f64> {
    let parts = parts(room, claims);
    let taken = claims.iter().zip(&parts);
    let taken: Vec<f64> = taken
        .map(|(claim, &part)| claim.wanted().min(part))
        .collect();
    let all_taken: f64 = taken.iter().sum();
    let limits = claims.iter().enumerate().map(|(i, claim)| {
        let left = room - (all_taken - taken[i]);
        let usual = (claim.usual * USUAL_MARGIN).min(left);
        shares[i].max(parts[i]).max(usual).min(claim.limit)
    });
    limits.collect()
}

/// Returns the part of each claim by weight, up to its limit, whatever it wants.
#[must_use]
pub fn parts(room: f64, claims: &[Claim]) -> Vec<f64> {
    let active = claims.iter().filter(|claim| claim.demand >= MIN_DEMAND);
    let weights: f64 = active.map(|claim| claim.weight).sum();
    let part = |claim: &Claim| room * claim.weight / weights.max(claim.weight);
    let limited = claims.iter().map(|claim| part(claim).min(claim.limit));
    limited.collect()
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
