//! Wire format of time stamps that return to their sender.

use super::micros;
use cardamomslip_core::guarded::model::echo::Echo;
use cardamomslip_core::model::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `stamp`, `held`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EchoWire(u64, u64);

impl From<Echo> for EchoWire {
    fn from(echo: Echo) -> Self {
        Self(echo.stamp.as_micros(), micros(echo.held))
    }
}

impl From<EchoWire> for Echo {
    fn from(EchoWire(stamp, held): EchoWire) -> Self {
        Self {
            stamp: Time::from_micros(stamp),
            held: Duration::from_micros(held),
        }
    }
}
