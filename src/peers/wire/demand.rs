//! Wire format of demands and grants of slots.

use super::codes::{avoid_cause_code, avoid_cause_from_code};
use super::{WireError, from_micros, micros};
use cardamomslip_core::model::ids::{CustomerId, ExecutorId};
use cardamomslip_core::model::message::{
    AvoidedExecutor, Claim, Demand, Grant, Holding, Recall, SPEED_CLASSES, SlotsBySpeedClass,
};
use serde::{Deserialize, Serialize};

/// `executor`, `slots`.
#[derive(Debug, Serialize, Deserialize)]
pub struct HoldingWire(u64, u16);

impl From<&Holding> for HoldingWire {
    fn from(holding: &Holding) -> Self {
        Self(holding.executor.0, holding.slots)
    }
}

impl From<HoldingWire> for Holding {
    fn from(HoldingWire(executor, slots): HoldingWire) -> Self {
        Self {
            executor: ExecutorId(executor),
            slots,
        }
    }
}

/// `customer`, `rank`, `running`, `needs`, `max_task_slots`, and in microseconds `work`, `longest`,
/// `horizon`, `waited`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ClaimWire(u64, u64, u32, [u32; SPEED_CLASSES], u16, u64, u64, u64, u64);

impl From<&Claim> for ClaimWire {
    fn from(claim: &Claim) -> Self {
        Self(
            claim.customer.0,
            claim.rank,
            claim.running,
            claim.needs.0,
            claim.max_task_slots,
            micros(claim.work),
            micros(claim.longest),
            micros(claim.horizon),
            micros(claim.waited),
        )
    }
}

impl From<ClaimWire> for Claim {
    fn from(wire: ClaimWire) -> Self {
        let ClaimWire(
            customer,
            rank,
            running,
            needs,
            max_task_slots,
            work,
            longest,
            horizon,
            waited,
        ) = wire;
        Self {
            customer: CustomerId(customer),
            rank,
            running,
            needs: SlotsBySpeedClass(needs),
            max_task_slots,
            work: from_micros(work),
            longest: from_micros(longest),
            horizon: from_micros(horizon),
            waited: from_micros(waited),
        }
    }
}

/// `slots`, `min_speed_milli`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RecallWire(u32, u32);

impl From<Recall> for RecallWire {
    fn from(recall: Recall) -> Self {
        Self(recall.slots, recall.min_speed_milli)
    }
}

impl From<RecallWire> for Recall {
    fn from(RecallWire(slots, min_speed_milli): RecallWire) -> Self {
        Self {
            slots,
            min_speed_milli,
        }
    }
}

/// `seq`, `grant_seq`, `holdings`, `claims`, `recall`, `avoid` as pairs of executor and cause code.
#[derive(Debug, Serialize, Deserialize)]
pub struct DemandWire(
    u64,
    u64,
    Vec<HoldingWire>,
    Vec<ClaimWire>,
    RecallWire,
    Vec<(u64, u8)>,
);

impl From<&Demand> for DemandWire {
    fn from(demand: &Demand) -> Self {
        let avoid = demand
            .avoid
            .iter()
            .map(|avoided| (avoided.executor.0, avoid_cause_code(avoided.cause)));
        Self(
            demand.seq,
            demand.grant_seq,
            demand.holdings.iter().map(HoldingWire::from).collect(),
            demand.claims.iter().map(ClaimWire::from).collect(),
            demand.recall.into(),
            avoid.collect(),
        )
    }
}

impl TryFrom<DemandWire> for Demand {
    type Error = WireError;

    fn try_from(wire: DemandWire) -> Result<Self, WireError> {
        let DemandWire(seq, grant_seq, holdings, claims, recall, avoid) = wire;
        let avoid: Result<Vec<_>, _> = avoid
            .into_iter()
            .map(|(executor, cause)| {
                Ok(AvoidedExecutor {
                    executor: ExecutorId(executor),
                    cause: avoid_cause_from_code(cause)?,
                })
            })
            .collect();
        Ok(Self {
            seq,
            grant_seq,
            holdings: holdings.into_iter().map(Holding::from).collect(),
            claims: claims.into_iter().map(Claim::from).collect(),
            recall: recall.into(),
            avoid: avoid?,
        })
    }
}

/// `seq`, `slots`, `recall`, and in microseconds `expected_wait`, `fast_slot_wait`.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantWire(u64, Vec<HoldingWire>, RecallWire, u64, u64);

impl From<&Grant> for GrantWire {
    fn from(grant: &Grant) -> Self {
        let slots = grant.slots.iter().map(HoldingWire::from).collect();
        Self(
            grant.seq,
            slots,
            grant.recall.into(),
            micros(grant.expected_wait),
            micros(grant.fast_slot_wait),
        )
    }
}

impl From<GrantWire> for Grant {
    fn from(GrantWire(seq, slots, recall, expected_wait, fast_slot_wait): GrantWire) -> Self {
        let slots = slots.into_iter().map(Holding::from).collect();
        Self {
            seq,
            slots,
            recall: recall.into(),
            expected_wait: from_micros(expected_wait),
            fast_slot_wait: from_micros(fast_slot_wait),
        }
    }
}
