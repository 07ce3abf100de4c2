//! Enumerations as codes.

use super::WireError;
use cardamomslip_core::model::message::AvoidCause;
use cardamomslip_core::model::outcome::{FailureReason, Ran, RefusalReason};

/// Lists the values of an enumeration in the order of their codes.
macro_rules! codes {
    ($encode:ident, $decode:ident, $ty:ty, [$($variant:path),* $(,)?]) => {
        pub fn $encode(value: $ty) -> u8 {
            const ALL: &[$ty] = &[$($variant),*];
            let position = ALL.iter().position(|&other| other == value);
            position.and_then(|position| u8::try_from(position).ok()).unwrap_or(u8::MAX)
        }

        pub fn $decode(code: u8) -> Result<$ty, WireError> {
            const ALL: &[$ty] = &[$($variant),*];
            let found = ALL.get(usize::from(code)).copied();
            found.ok_or_else(|| WireError(format!("unknown code {code}")))
        }
    };
}

codes!(
    failure_code,
    failure_of,
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
    refusal_of,
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
    ran_of,
    Ran,
    [Ran::NotRun, Ran::MayHaveRun, Ran::Unknown]
);

codes!(
    avoid_code,
    avoid_of,
    AvoidCause,
    [AvoidCause::Busy, AvoidCause::Failing, AvoidCause::Probation,]
);
