//! State machine that generates operations and applies them to the fleet.

use crate::coverage::Coverage;
use crate::executor::Behaviour;
use crate::fleet::{DATA_CENTRES, Fleet, Shape, VMS};
use cardamomslip_core::model::request::JobOp;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Coverage over all cases.
pub static COVERAGE: Coverage = Coverage::new();

/// Names of the presets in the configuration.
const PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];
/// Maximum number of submissions per case.
const MAX_SUBMISSIONS: usize = 12;

/// An operation on the fleet.
///
/// The entries of `regressions.txt` name `IssueIds`, `Freeze`, `ExecutorBehaviour` and
/// `SetMessageFaults` as `TakeIds`, `Pause`, `ExecutorMode` and `Chaos`.
#[derive(Clone, Debug)]
pub enum Op {
    IssueIds {
        vm: usize,
        shape: Shape,
        keyed: bool,
    },
    Submit {
        vm: usize,
        number: usize,
        wait_ms: u64,
    },
    Fetch {
        vm: usize,
        number: usize,
        foreign: bool,
    },
    Cancel {
        vm: usize,
        number: usize,
    },
    Kill(usize),
    Replace(usize),
    Freeze(usize),
    Resume(usize),
    Stop(usize),
    Cut,
    CutPlatform(usize),
    Heal,
    Change {
        vm: usize,
        preset: usize,
    },
    ExecutorBehaviour {
        executor: usize,
        behaviour: Behaviour,
    },
    ExecutorLeaves {
        executor: usize,
        leaving: bool,
    },
    SetMessageFaults(u8),
    Advance(u64),
}

/// State that the generator needs to choose valid operations.
#[derive(Clone, Debug)]
pub struct Model {
    seed: u64,
    submissions: usize,
    up: [bool; VMS],
    frozen: [bool; VMS],
}

fn shape() -> impl Strategy<Value = Shape> {
    let slots = prop_oneof![8 => Just(1_u16), 2 => 2_u16..=3, 1 => Just(9_u16)];
    let deadline = prop_oneof![3 => Just(None), 1 => (100_u64..3_000).prop_map(Some)];
    (
        1_usize..8,
        10_u64..1_500,
        1_u64..10,
        slots,
        deadline,
        any::<bool>(),
    )
        .prop_map(
            |(tasks, run_ms, factor, slots, deadline_ms, repeatable)| Shape {
                tasks,
                run_ms,
                declared_ms: (run_ms / factor).max(1),
                slots,
                deadline_ms,
                repeatable,
            },
        )
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        2 => Just(Behaviour::Normal),
        1 => Just(Behaviour::Busy),
        1 => Just(Behaviour::FailAll),
        1 => Just(Behaviour::Silent),
    ]
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Self> {
        let model = |seed| Self {
            seed,
            submissions: 0,
            up: [true; VMS],
            frozen: [false; VMS],
        };
        any::<u64>().prop_map(model).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Op> {
        let vm = 0..VMS;
        let number = 0..state.submissions.max(1);
        prop_oneof![
            6 => (vm.clone(), shape(), prop::bool::weighted(0.25))
                .prop_map(|(vm, shape, keyed)| Op::IssueIds { vm, shape, keyed }),
            14 => (vm.clone(), number.clone(), prop_oneof![Just(0), 10_u64..5_000])
                .prop_map(|(vm, number, wait_ms)| Op::Submit { vm, number, wait_ms }),
            3 => (vm.clone(), number.clone(), prop::bool::weighted(0.3))
                .prop_map(|(vm, number, foreign)| Op::Fetch { vm, number, foreign }),
            2 => (vm.clone(), number).prop_map(|(vm, number)| Op::Cancel { vm, number }),
            2 => vm.clone().prop_map(Op::Kill),
            3 => vm.clone().prop_map(Op::Replace),
            2 => vm.clone().prop_map(Op::Freeze),
            3 => vm.clone().prop_map(Op::Resume),
            2 => vm.clone().prop_map(Op::Stop),
            1 => Just(Op::Cut),
            1 => (0..DATA_CENTRES).prop_map(Op::CutPlatform),
            2 => Just(Op::Heal),
            2 => (vm, 0..PRESETS.len()).prop_map(|(vm, preset)| Op::Change { vm, preset }),
            2 => (0_usize..4, behaviour())
                .prop_map(|(executor, behaviour)| Op::ExecutorBehaviour { executor, behaviour }),
            1 => (0_usize..4, any::<bool>())
                .prop_map(|(executor, leaving)| Op::ExecutorLeaves { executor, leaving }),
            2 => (0_u8..3).prop_map(Op::SetMessageFaults),
            10 => prop_oneof![4 => 1_u64..300, 2 => 300_u64..3_000, 1 => 3_000_u64..9_000]
                .prop_map(Op::Advance),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, op: &Op) -> bool {
        match op {
            Op::IssueIds { vm, .. } => {
                state.submissions < MAX_SUBMISSIONS && state.up[*vm] && !state.frozen[*vm]
            }
            Op::Submit { number, vm, .. }
            | Op::Fetch { number, vm, .. }
            | Op::Cancel { number, vm } => *number < state.submissions && state.up[*vm],
            Op::Kill(vm) | Op::Stop(vm) => state.up[*vm],
            Op::Replace(vm) => !state.up[*vm],
            Op::Freeze(vm) => state.up[*vm] && !state.frozen[*vm],
            Op::Resume(vm) => state.frozen[*vm],
            Op::Change { vm, .. } => state.up[*vm],
            Op::Cut
            | Op::CutPlatform(_)
            | Op::Heal
            | Op::ExecutorBehaviour { .. }
            | Op::ExecutorLeaves { .. }
            | Op::SetMessageFaults(_)
            | Op::Advance(_) => true,
        }
    }

    fn apply(mut state: Self, op: &Op) -> Self {
        match op {
            Op::IssueIds { .. } => state.submissions += 1,
            Op::Kill(vm) => {
                state.up[*vm] = false;
                state.frozen[*vm] = false;
            }
            // The model does not know when a stopping process exits and treats it as gone. Until it
            // exits, replacing it has no effect.
            Op::Stop(vm) => state.up[*vm] = false,
            Op::Replace(vm) => state.up[*vm] = true,
            Op::Freeze(vm) => state.frozen[*vm] = true,
            Op::Resume(vm) => state.frozen[*vm] = false,
            _ => {}
        }
        state
    }
}

/// Applies operations to the fleet.
#[derive(Debug)]
pub struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test(model: &Model) -> Fleet {
        Fleet::new(model.seed)
    }

    fn apply(mut fleet: Fleet, _: &Model, op: Op) -> Fleet {
        let name = match op {
            Op::IssueIds { vm, shape, keyed } => {
                fleet.issue_ids(vm, shape, keyed);
                "op issue_ids"
            }
            Op::Submit {
                vm,
                number,
                wait_ms,
            } => {
                let keyed = fleet.history.submissions[number].id.is_none();
                fleet.submit(vm, number, wait_ms);
                if keyed {
                    "op submit_keyed"
                } else {
                    "op submit"
                }
            }
            Op::Fetch {
                vm,
                number,
                foreign,
            } => {
                fleet.request_job(vm, number, JobOp::Fetch, foreign);
                if foreign {
                    "op fetch_foreign"
                } else {
                    "op fetch"
                }
            }
            Op::Cancel { vm, number } => {
                fleet.request_job(vm, number, JobOp::Cancel, false);
                "op cancel"
            }
            Op::Kill(vm) => {
                fleet.kill(vm);
                "op kill"
            }
            Op::Replace(vm) => {
                fleet.replace(vm);
                "op replace"
            }
            Op::Freeze(vm) => {
                fleet.freeze(vm);
                "op freeze"
            }
            Op::Resume(vm) => {
                fleet.resume(vm);
                "op resume"
            }
            Op::Stop(vm) => {
                fleet.stop(vm);
                "op stop"
            }
            Op::Cut => {
                fleet.cut();
                "op cut"
            }
            Op::CutPlatform(data_centre) => {
                fleet.cut_platform(data_centre);
                "op cut_platform"
            }
            Op::Heal => {
                fleet.heal();
                "op heal"
            }
            Op::Change { vm, preset } => {
                fleet.change(vm, PRESETS[preset]);
                "op change"
            }
            Op::ExecutorBehaviour {
                executor,
                behaviour,
            } => {
                fleet.set_behaviour(executor, behaviour);
                "op executor_behaviour"
            }
            Op::ExecutorLeaves { executor, leaving } => {
                fleet.set_leaving(executor, leaving);
                "op executor_leaves"
            }
            Op::SetMessageFaults(level) => {
                fleet.set_message_faults(level);
                "op message_faults"
            }
            Op::Advance(ms) => {
                fleet.advance(ms);
                "op advance"
            }
        };
        fleet.count(name);
        fleet
    }

    fn teardown(mut fleet: Fleet, _: Model) {
        fleet.finish();
        COVERAGE.add(&fleet.counts);
    }
}
