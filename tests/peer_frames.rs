//! Peer frames: a round trip of each message, and the rejection of invalid frames.

use cardamomslip::peers::{decode, encode};
use cardamomslip_core::model::configuration::{
    Change, ChangeRequest, Configuration, CustomerEntry, Preset,
};
use cardamomslip_core::model::ids::{CustomerId, DataCentreId, ExecutorId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::job_id::{IdKey, JobId};
use cardamomslip_core::model::message::{
    ArchivedOutcome, AvoidCause, AvoidedExecutor, Claim, Demand, Grant, Handover, Heartbeat,
    Holding, Message, Recall, SlotsBySpeedClass,
};
use cardamomslip_core::model::outcome::{FailureReason, Outcome, Ran, Refusal, RefusalReason};
use cardamomslip_core::model::request::{JobOp, JobRequest, Response};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList, VmState};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const ME: Incarnation = Incarnation {
    data_centre: DataCentreId(1),
    vm: VmId(2),
    nonce: 3,
};
const ID: JobId = JobId {
    issuer: ME,
    counter: 4,
    tag: 5,
};

fn forward(op: JobOp) -> Message {
    let wait = Duration::from_millis(7);
    Message::Forward {
        number: 9,
        req: JobRequest {
            id: ID,
            customer: CustomerId(6),
            wait,
            op,
        },
    }
}

fn spec() -> JobSpec {
    let task = TaskSpec {
        kind: "check".into(),
        payload: "{\"a\":1}".into(),
        declared: Duration::from_millis(50),
        slots: 2,
    };
    let deadline = Some(Duration::from_secs(3));
    JobSpec {
        tasks: vec![task].into(),
        deadline,
        repeatability: Repeatability::Repeatable,
    }
}

fn configuration() -> Configuration {
    let change = Change::Replace {
        preset: "ordinary".into(),
        presets: vec![Preset {
            name: "ordinary".into(),
            admits_work: true,
            max_open_tasks: 9,
            max_wait_ms: 8,
        }],
        customers: vec![CustomerEntry {
            id: cardamomslip::names::customer_id("karoo"),
            name: "karoo".into(),
            token_sha256: "ab".into(),
            weight: 2,
            quota_slots: Some(8),
        }],
    };
    let req = ChangeRequest {
        base: 0,
        who: "thandi".into(),
        why: "w".into(),
        when_ms: 1,
        change,
    };
    Configuration::next_version(None, &req, u128::MAX).expect("a valid configuration")
}

fn vm_list() -> VmList {
    let entry = EntryVm {
        id: VmId(1),
        data_centre: DataCentreId(2),
        peer_address: "127.0.0.1:1".into(),
        state: VmState::Leaving,
    };
    let executor = ExecutorVm {
        id: ExecutorId(1),
        data_centre: DataCentreId(2),
        address: "127.0.0.1:2".into(),
        slots: 8,
        speed_milli: 1_500,
        state: VmState::Live,
    };
    VmList {
        revision: 3,
        entries: vec![entry],
        executors: vec![executor],
    }
}

fn demand() -> Demand {
    let claim = Claim {
        customer: CustomerId(1),
        rank: u64::MAX,
        running: 3,
        needs: SlotsBySpeedClass([1, 2, 3, 4, 5, 6, 7, 8]),
        max_task_slots: 2,
        work: Duration::from_secs(9),
        longest: Duration::from_secs(1),
        horizon: Duration::from_secs(2),
        waited: Duration::from_millis(3),
    };
    Demand {
        seq: 1,
        grant_seq: 2,
        holdings: vec![Holding {
            executor: ExecutorId(7),
            slots: 3,
        }],
        claims: vec![claim],
        recall: Recall {
            slots: 4,
            min_speed_milli: 5,
        },
        avoid: vec![AvoidedExecutor {
            executor: ExecutorId(8),
            cause: AvoidCause::Probation,
        }],
    }
}

fn handover() -> Handover {
    let outcome = Outcome::failed(FailureReason::Cancelled, Ran::NotRun);
    Handover {
        closed: ME,
        key: IdKey([7; 16]),
        floor: 1,
        next_counter: 2,
        part: 0,
        parts: 1,
        outcomes: vec![ArchivedOutcome {
            counter: 1,
            customer: CustomerId(2),
            outcome,
        }],
    }
}

/// Returns at least one message of each kind.
fn messages() -> Vec<Message> {
    let heartbeat = Heartbeat {
        config_version: 1,
        vm_list_revision: 2,
        weight: 3,
        serving: true,
    };
    let complete = Outcome::Complete(vec![Arc::from("1"), Arc::from("{}")].into());
    let refusal =
        Refusal::unknown(RefusalReason::Expired).with_retry_after(Duration::from_millis(1));
    let forwarded = |response| Message::Forwarded {
        number: 1,
        response,
    };
    let grant = Grant {
        seq: 1,
        slots: vec![Holding {
            executor: ExecutorId(1),
            slots: 2,
        }],
        recall: Recall {
            slots: 3,
            min_speed_milli: 0,
        },
        expected_wait: Duration::from_millis(4),
        fast_slot_wait: Duration::from_millis(5),
    };
    vec![
        Message::Heartbeat(heartbeat),
        Message::Configuration(Arc::new(configuration())),
        Message::VmList(Arc::new(vm_list())),
        forward(JobOp::Submit(spec())),
        forward(JobOp::Fetch),
        forward(JobOp::Cancel),
        forwarded(Response::Ids(vec![ID])),
        forwarded(Response::Running {
            id: ID,
            done: 1,
            total: 2,
        }),
        forwarded(Response::Answer {
            id: ID,
            outcome: complete,
        }),
        forwarded(Response::Refused(refusal)),
        Message::Demand(demand()),
        Message::Grant(grant),
        Message::Drain,
        Message::Handover(handover()),
        Message::HandoverStored { closed: ME },
        Message::Closed {
            closed: ME,
            holders: vec![ME],
        },
    ]
}

#[test]
fn messages_survive_a_round_trip() {
    for message in messages() {
        assert_eq!(decode(&encode(&message)), Ok(message));
    }
}

#[test]
fn truncated_frames_are_rejected() {
    for message in messages() {
        let frame = encode(&message);
        for len in 0..frame.len() {
            assert!(
                decode(&frame[..len]).is_err(),
                "{message:?} cut to {len} bytes"
            );
        }
    }
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut frame = encode(&Message::Drain);
    frame.push(0);
    assert!(decode(&frame).is_err());
}

#[test]
fn deeply_nested_frames_are_rejected() {
    // Arrays of one element, nested 100,000 deep.
    assert!(decode(&[0x81; 100_000]).is_err());
}

#[test]
fn huge_declared_length_does_not_allocate() {
    // An array with a declared length of 2^62 elements.
    let frame = [0xa1, 0x61, b'i', 0x9b, 0x40, 0, 0, 0, 0, 0, 0, 0];
    assert!(decode(&frame).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_frames_do_not_panic(frame in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&frame);
    }

    #[test]
    fn corrupted_frames_do_not_panic(
        which in 0_usize..16,
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut frame = encode(&messages()[which]);
        let position = position.index(frame.len());
        frame[position] = byte;
        let _ = decode(&frame);
    }
}
