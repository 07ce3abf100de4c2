//! Simulation tests of the guarded dispatcher in virtual time: property tests with random faults,
//! and scenarios with given loads and faults.
//!
//! The property tests read `PROPTEST_CASES` and `PROPTEST_RNG_SEED`. The default is a fixed seed.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values of the simulation are small"
)]

#[macro_use]
mod cases;
mod bounds;
mod cancels;
mod capacity;
mod crashes;
mod evacuations;
mod forecast;
mod history;
mod loads;
mod oracle;
mod recovery;
mod registrations;
mod room;
mod scale;
mod share_decisions;
mod shares;
mod silent_clients;
mod sim;
mod slow_vms;
mod stale_knowledge;
mod stalls;
mod starts_in_flight;
mod stops;
mod walks;
mod worker;
