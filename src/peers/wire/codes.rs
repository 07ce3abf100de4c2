//! Numeric codes of enums.

use super::WireError;
use cardamomslip_core::model::message::AvoidCause;
use cardamomslip_core::model::outcome::{FailureReason, Ran, RefusalReason};

/// Defines the functions that convert an enum to and from its codes. The values are listed in the
/// order of their codes, starting at 0.
macro_rules! codes {
    ($encode:ident, $decode:ident, $ty:ty, [$($variant:path),* $(,)?]) => {
        pub fn $encode(value: $ty) -> u8 {
            const ALL: &[$ty] = &[$($variant),*];
            let position = ALL.iter().position(|&other| other == value);
            position.and_then(|position| u8::try_from(position).ok()).unwrap_or(u8::MAX)
        }

        pub fn $decode(code: u8) -> Result<$ty, WireError> {
            const ALL: &[$ty] = &[$($variant),*];
            let value = ALL.get(usize::from(code)).copied();
            value.ok_or_else(|| WireError(format!("unknown code {code}")))
        }
    };
}

codes!(
    failure_code,
    failure_from_code,
    FailureReason,
    [
        FailureReason::TaskFailed,
        FailureReason::OutcomeLost,
        FailureReason::DeadlineExceeded,
        FailureReason::Cancelled,
        FailureReason::IssuerLost,
        FailureReason::DeadlineUnreachable,
        FailureReason::Impossible,
        FailureReason::Overloaded,
        FailureReason::Stopping,
        FailureReason::NotServing,
    ]
);

codes!(
    refusal_code,
    refusal_from_code,
    RefusalReason,
    [
        RefusalReason::NoSuchJob,
        RefusalReason::NotSubmitted,
        RefusalReason::Expired,
        RefusalReason::IssuerUnreachable,
        RefusalReason::Stopping,
        RefusalReason::NotServing,
        RefusalReason::TooManyWaiting,
        RefusalReason::BatchTooLarge,
        RefusalReason::StoreUnavailable,
        RefusalReason::VersionConflict,
        RefusalReason::InvalidChange,
    ]
);

codes!(
    ran_code,
    ran_from_code,
    Ran,
    [Ran::NotRun, Ran::MayHaveRun, Ran::Unknown]
);

codes!(
    avoid_cause_code,
    avoid_cause_from_code,
    AvoidCause,
    [AvoidCause::Busy, AvoidCause::Failing, AvoidCause::Probation,]
);
