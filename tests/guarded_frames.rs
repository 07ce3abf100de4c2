//! Encoding and decoding of the messages between entry VMs about guarded workers.

use cardamomslip::peers::PeerMessage;
use cardamomslip_core::guarded::model::answer::{Answer, LossCause, RefusalCause};
use cardamomslip_core::guarded::model::cancel::{
    CancelMark, CancelOutcome, CancelReply, CancelRequest, CancelScope,
};
use cardamomslip_core::guarded::model::cell::{Cell, HolderLoad};
use cardamomslip_core::guarded::model::crash::Evidence;
use cardamomslip_core::guarded::model::echo::Echo;
use cardamomslip_core::guarded::model::evacuations::{Evacuation, Evacuations};
use cardamomslip_core::guarded::model::ids::{
    ClientJobId, FencingToken, QueueId, TaskId, UpstreamId, WorkerId,
};
use cardamomslip_core::guarded::model::job::{Job, QueueSettings, Step};
use cardamomslip_core::guarded::model::message::{
    DrainReport, Heartbeat, Message, RemoteHolder, StartReport, SuspectReport,
};
use cardamomslip_core::guarded::model::queue::{Queue, QueueTable};
use cardamomslip_core::guarded::model::queue_use::{MAX_QUEUE_USES, QueueUse};
use cardamomslip_core::guarded::model::resources::Resources;
use cardamomslip_core::guarded::model::room::RoomSummary;
use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::time::Time;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const SETTINGS: QueueSettings = QueueSettings {
    queue: QueueId(3),
    upstream: UpstreamId(4),
    priority: 1,
    max_attempts: 2,
    stretch: 1.6,
    target: Duration::from_millis(60),
};

const ECHO: Echo = Echo {
    stamp: Time::from_micros(u64::MAX),
    held: Duration::from_micros(250_000),
};

fn evacuations() -> Evacuations {
    let mut state = Evacuations::new(u64::MAX);
    let name = "sutherland".into();
    let revision = 1_900;
    state.insert(DataCentreId(u64::MAX), Evacuation { name, revision });
    state
}

fn heartbeat(cell_count: u16, index: u16) -> Message {
    Message::Heartbeat(Box::new(Heartbeat {
        sent_at: Time::from_micros(u64::MAX),
        echo: Some(ECHO),
        weight: 25,
        leaving: true,
        queues_version: 17,
        queues_age: Duration::from_micros(1_000_001),
        evacuations: Arc::new(evacuations()),
        token: 1 << 52,
        cells: vec![Cell {
            data_centre: DataCentreId(u64::MAX),
            cell_count,
            index,
        }],
        load: HolderLoad {
            capacity_milli: 16_000,
            free_milli: 2_400,
            waiting_milli: 6_800,
            mean_run: Duration::from_micros(200_001),
            room: None,
        },
        still_held: vec![WorkerId(9)],
        next_within: Duration::from_millis(360),
        is_relay: true,
        wants_link: false,
        remote_holders: vec![RemoteHolder {
            holder: Incarnation {
                data_centre: DataCentreId(2),
                vm: VmId(3),
                nonce: u64::MAX,
            },
            load: HolderLoad {
                capacity_milli: 32_000,
                free_milli: 1,
                waiting_milli: 2,
                mean_run: Duration::from_micros(99),
                room: None,
            },
            age: Duration::from_micros(7),
        }],
        queue_uses: vec![QueueUse {
            queue: QueueId(u64::MAX),
            priority: 2,
            held_milli: 64_000_000,
            usual_milli: 64_000_001,
            waiting_milli: 1 << 50,
        }],
    }))
}

/// Returns the load of 130 workers.
fn load(room: Option<RoomSummary>) -> HolderLoad {
    HolderLoad {
        capacity_milli: 9_600_000,
        free_milli: 2_400_000,
        waiting_milli: 6_800_000,
        mean_run: Duration::from_micros(200_001),
        room,
    }
}

fn room() -> RoomSummary {
    let mut room = RoomSummary::default();
    for (i, row) in room.sizes.iter_mut().enumerate() {
        row.fits = 500 >> i;
        row.slots = 4_800 >> i;
        row.wait_ms = 10_000;
    }
    room
}

fn heartbeat_with_load(load: HolderLoad) -> Message {
    let Message::Heartbeat(heartbeat) = heartbeat(4, 3) else {
        unreachable!("the message is a heartbeat");
    };
    let remote = heartbeat.remote_holders.iter();
    let remote = remote.map(|&remote| RemoteHolder { load, ..remote });
    Message::Heartbeat(Box::new(Heartbeat {
        remote_holders: remote.collect(),
        load,
        ..*heartbeat
    }))
}

fn place(after: Vec<u32>) -> Message {
    let step = Step {
        count: 8,
        need: Resources {
            cpu_milli: 6_800,
            memory_mb: 64,
            accelerators: 1,
        },
        estimate: Duration::from_millis(60),
        after,
        label: Some("a".into()),
        preferred_rack: None,
        max_per_worker: Some(2),
    };
    let first = Step {
        after: Vec::new(),
        ..step.clone()
    };
    Message::Place {
        job: Arc::new(Job {
            id: ClientJobId(7),
            settings: SETTINGS,
            payload: "what to do".into(),
            steps: vec![first, step],
            client_timeout: Duration::from_millis(2_500),
        }),
        age: Duration::from_micros(1_234),
        unread: Duration::from_micros(77),
        echo: ECHO,
    }
}

fn finished(answer: Answer) -> Message {
    let job = ClientJobId(7);
    Message::Finished { job, answer }
}

const SCOPES: [CancelScope; 3] = [
    CancelScope::Receiver,
    CancelScope::DataCentre,
    CancelScope::System,
];

fn cancel() -> Message {
    let job = ClientJobId(8);
    let rows = SCOPES.map(|scope| CancelRequest { job, scope });
    Message::Cancel(rows.to_vec())
}

fn cancel_replies() -> Message {
    let outcomes = [
        CancelOutcome::Cancelled,
        CancelOutcome::Unknown,
        CancelOutcome::Incomplete,
    ];
    let rows = SCOPES.into_iter().zip(outcomes);
    let rows = rows.map(|(scope, outcome)| CancelReply {
        job: ClientJobId(u64::MAX),
        scope,
        outcome,
    });
    Message::CancelReplies(rows.collect())
}

fn cancel_marks() -> Message {
    let rows = SCOPES.map(|scope| CancelMark {
        job: ClientJobId(8),
        scope,
        age: Duration::from_micros(5_999_999),
    });
    Message::CancelMarks(rows.to_vec())
}

fn queues() -> Message {
    let queue = Queue {
        name: "r-1".into(),
        host: "nony24.example".into(),
        prefix: "/pule/".into(),
        settings: SETTINGS,
    };
    Message::Queues(Arc::new(QueueTable::new(17, vec![queue], 4)))
}

fn suspects() -> Message {
    let task = TaskId {
        job: ClientJobId(7),
        repetition: 1,
        step: 2,
        index: 3,
    };
    let worker = WorkerId(9);
    let crashed = |evidence, boot| SuspectReport::Crashed {
        task,
        worker,
        boot,
        evidence,
    };
    Message::Suspects(vec![
        crashed(Evidence::Decisive, Some(u64::MAX)),
        crashed(Evidence::Likely, None),
        crashed(Evidence::Unclear, None),
        crashed(Evidence::Unproven, Some(0)),
        crashed(Evidence::Trial, Some(1)),
        SuspectReport::Withdrawn { task, worker },
        SuspectReport::Cleared { task },
        SuspectReport::GivenUp { task },
    ])
}

fn drains() -> Message {
    let report = |worker, boot| DrainReport {
        worker: WorkerId(worker),
        boot,
    };
    Message::Drains(vec![report(9, 17), report(u64::MAX, 0)])
}

fn starts() -> Message {
    let task = TaskId {
        job: ClientJobId(7),
        repetition: 1,
        step: 2,
        index: 3,
    };
    let worker = WorkerId(9);
    Message::Starts(vec![
        StartReport::Open {
            task,
            worker,
            number: 2,
            token: FencingToken(u64::MAX),
            age: Duration::from_micros(14_999_999),
        },
        StartReport::Known {
            task,
            worker,
            number: u64::MAX,
            token: FencingToken(0),
            age: Duration::ZERO,
        },
        StartReport::RuledOut {
            task,
            worker,
            token: FencingToken(7),
        },
    ])
}

#[rstest]
#[case::heartbeat(heartbeat(4, 3))]
#[case::heartbeat_with_room(heartbeat_with_load(load(Some(room()))))]
#[case::place(place(vec![0]))]
#[case::completed(finished(Answer::Completed))]
#[case::failed(finished(Answer::Failed))]
#[case::refused(finished(Answer::Refused {
    cause: RefusalCause::Stopping,
    retry_after: Duration::from_micros(1_500_001),
}))]
#[case::lost(finished(Answer::Lost(LossCause::Paused)))]
#[case::withdraw(Message::Withdraw { job: ClientJobId(8) })]
#[case::cancel(cancel())]
#[case::cancel_replies(cancel_replies())]
#[case::cancel_marks(cancel_marks())]
#[case::cancelled_before(finished(Answer::Refused {
    cause: RefusalCause::CancelledBefore,
    retry_after: Duration::from_secs(9),
}))]
#[case::cancelled(finished(Answer::Cancelled))]
#[case::request_queues(Message::RequestQueues { version: 16 })]
#[case::queues(queues())]
#[case::suspects(suspects())]
#[case::contained(finished(Answer::Refused {
    cause: RefusalCause::Contained,
    retry_after: Duration::from_secs(3),
}))]
#[case::suspected(finished(Answer::Lost(LossCause::Suspected)))]
#[case::starts(starts())]
#[case::drains(drains())]
#[case::start_in_flight(finished(Answer::Lost(LossCause::StartInFlight)))]
fn messages_survive_a_round_trip(#[case] message: Message) {
    let frame = message.encode();
    assert_eq!(Message::decode(&frame).expect("a message"), message);
    assert!(Message::decode(&frame[..frame.len() - 1]).is_err());
    let longer = [frame.as_slice(), &[0]].concat();
    assert!(Message::decode(&longer).is_err());
}

/// Guards against a message with more rows than a sender puts into one: the rest is left out.
#[test]
fn rows_about_cancellations_are_limited() {
    let row = CancelRequest {
        job: ClientJobId(8),
        scope: CancelScope::Receiver,
    };
    let frame = Message::Cancel(vec![row; 5_000]).encode();
    let decoded = Message::decode(&frame).expect("a message");
    assert_eq!(decoded, Message::Cancel(vec![row; 1_024]));
}

#[rstest]
#[case::cell_index_out_of_range(heartbeat(4, 4))]
#[case::cell_count_not_a_power_of_two(heartbeat(3, 1))]
#[case::step_that_depends_on_itself(place(vec![1]))]
fn invalid_messages_are_rejected(#[case] message: Message) {
    assert!(Message::decode(&message.encode()).is_err());
}

/// The simulations of the core bound the bytes of heartbeats by these sizes: the fixed part, a cell,
/// a holder elsewhere, a worker and the use of a queue.
#[test]
fn heartbeats_are_within_the_assumed_sizes() {
    let Message::Heartbeat(one) = heartbeat(4, 3) else {
        unreachable!("the message is a heartbeat");
    };
    let many = Heartbeat {
        cells: one.cells.repeat(9),
        still_held: one.still_held.repeat(9),
        remote_holders: one.remote_holders.repeat(9),
        queue_uses: one.queue_uses.repeat(9),
        ..*one
    };
    let len = Message::Heartbeat(Box::new(many)).encode().len();
    assert!(len <= 110 + 9 * (16 + 56 + 9 + 31), "{len} bytes");
}

/// A heartbeat with more queues than a VM may report must not take up more memory than one with as many
/// as it may.
#[test]
fn surplus_queue_uses_are_not_read() {
    let Message::Heartbeat(mut heartbeat) = heartbeat(4, 3) else {
        unreachable!("the message is a heartbeat");
    };
    heartbeat.queue_uses = heartbeat.queue_uses.repeat(MAX_QUEUE_USES + 1);
    let frame = Message::Heartbeat(heartbeat).encode();
    let Ok(Message::Heartbeat(read)) = Message::decode(&frame) else {
        panic!("the message is a heartbeat");
    };
    assert_eq!(read.queue_uses.len(), MAX_QUEUE_USES);
}

/// A summary of the room adds a few dozen bytes for a holder: heartbeats cross data centres.
#[test]
fn a_summary_of_the_room_is_small() {
    let len = |room| heartbeat_with_load(load(room)).encode().len();
    let (with, without) = (len(Some(room())), len(None));
    // The heartbeat reports two holders.
    assert!(with <= without + 2 * 48, "{with} and {without} bytes");
}
