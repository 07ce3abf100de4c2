//! The entry daemon: starts and stops the node's actor, the servers and the watches.

use crate::blocking_pool::BlockingPool;
use crate::callers::{AuthTable, CallerService};
use crate::error::{Error, ErrorKind};
use crate::executors::HttpExecutors;
use crate::http::{HttpConfig, HttpServer, Ingress, IngressLimits};
use crate::input::{Input, InputSender};
use crate::machine::Machine;
use crate::names::{data_centre_id, vm_id};
use crate::node_actor::{Environment, NodeActor};
use crate::operators::{MetricSources, NodeMetrics, OperatorApi};
use crate::peers::{PeerConfig, PeerHub};
use crate::platform::{PlatformAdapter, PlatformClient};
use crate::settings::{Settings, THREAD_STACK_BYTES};
use cardamomslip_core::collections::set_hash_key;
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::job_id::IdKey;
use cardamomslip_core::model::message::Message;
use cardamomslip_core::{Event, Identity, Node};
use stakker::{ActorOwn, Stakker, actor, call, ret_shutdown};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of async threads, which serve the connections of callers and peers.
const WORKER_THREADS: usize = 2;
/// Maximum wait for an input before the loop checks for shutdown.
const MAX_INPUT_WAIT: Duration = Duration::from_millis(250);
/// Maximum number of further inputs that are passed to the actor before it runs.
const MAX_INPUT_BATCH: usize = 256;
/// Time limit for blocking calls to finish when the daemon stops.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A running entry daemon.
///
/// # Example
///
/// ```no_run
/// use cardamomslip::{Daemon, Settings};
///
/// # fn main() -> Result<(), cardamomslip::Error> {
/// let settings = Settings::load("entry-1.yaml".as_ref())?;
/// let daemon = Daemon::start(settings)?;
/// println!("listening for callers on {}", daemon.caller_address());
/// daemon.close();
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Daemon {
    tx: InputSender,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    incarnation: Incarnation,
    thread: JoinHandle<()>,
}

/// Handle that stops a running daemon. Clones refer to the same daemon.
#[derive(Clone, Debug)]
pub struct StopHandle {
    tx: InputSender,
}

impl StopHandle {
    /// Begins a graceful stop: open jobs run to their end and outcomes are handed over to peers.
    pub fn stop(&self) {
        self.tx.send_event(Event::Stop);
    }

    /// Stops the daemon immediately, without finishing open jobs, and logs how many jobs, attempts
    /// and callers it abandons.
    pub fn stop_now(&self) {
        self.tx.send(Input::StopNow);
    }
}

impl Daemon {
    /// Starts a daemon: opens its sockets and begins to connect to the platform and the peers.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Settings`] if the machine is too small for the limits, of
    /// kind [`ErrorKind::Listen`] if a socket can't be opened, and of kind [`ErrorKind::Thread`] if a
    /// thread can't be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        // This fails if an earlier daemon of the process has set a key.
        let _ = set_hash_key(rand::random());
        let machine = Machine::detect();
        let ingress = settings.limits.ingress(&machine)?;
        ingress.log(&machine, settings.limits.named());
        let me = new_incarnation(&settings);
        let (tx, rx) = mpsc::channel();
        let tx = InputSender::new(tx);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(settings.limits.blocking_threads_on(&machine))
            .thread_stack_size(THREAD_STACK_BYTES)
            .enable_all()
            .build()
            .map_err(|e| Error::new(ErrorKind::Thread, e.to_string()))?;
        let components = Components::new(&settings, ingress, me, &tx, &runtime)?;
        let (caller_address, peer_address) =
            (components.server.address(), components.peers.address());
        let node = Node::with_id_key(
            Identity {
                me,
                weight: settings.weight,
                seed: rand::random(),
            },
            settings.policy(&machine),
            IdKey(rand::random()),
        );
        tracing::info!(incarnation = %me, %caller_address, %peer_address, "started");
        let thread = std::thread::Builder::new()
            .name(format!("node-{}", settings.name))
            .spawn(move || run(node, components, &rx, runtime))
            .map_err(|e| Error::new(ErrorKind::Thread, e.to_string()))?;
        Ok(Self {
            tx,
            caller_address,
            peer_address,
            incarnation: me,
            thread,
        })
    }

    /// Returns the address on which callers and operators are served.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address on which peers are accepted.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the incarnation of this run of the daemon.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns a handle that can stop the daemon from another thread.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            tx: self.tx.clone(),
        }
    }

    /// Waits until the daemon has stopped.
    pub fn wait(self) {
        // The panic hook has already logged a panic of the thread.
        drop(self.thread.join());
    }

    /// Stops the daemon gracefully and waits until it has stopped.
    pub fn close(self) {
        self.stop_handle().stop();
        self.wait();
    }
}

fn new_incarnation(settings: &Settings) -> Incarnation {
    Incarnation {
        data_centre: data_centre_id(&settings.data_centre),
        vm: vm_id(&settings.name),
        nonce: rand::random(),
    }
}

/// The components that serve the node, until the daemon stops.
struct Components {
    env: Environment,
    server: HttpServer,
    peers: PeerHub<Message>,
    watches: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Components {
    fn new(
        settings: &Settings,
        ingress: IngressLimits,
        me: Incarnation,
        tx: &InputSender,
        runtime: &tokio::runtime::Runtime,
    ) -> Result<Self, Error> {
        let timing = &settings.timing;
        let connect_timeout = Duration::from_millis(timing.connect_timeout_ms);
        let platform =
            PlatformAdapter::new(PlatformClient::new(settings.platform, connect_timeout));
        let metrics = NodeMetrics::default();
        let peers = start_peers(settings, &ingress, me, tx, runtime)?;
        let blocking = BlockingPool::new(runtime.handle().clone());
        let ingress = Ingress::new(ingress);
        let sources = MetricSources {
            ingress: ingress.clone(),
            peers: peers.clone(),
            blocking: blocking.clone(),
        };
        let operators = OperatorApi::new(tx.clone(), platform.clone(), metrics.clone(), sources);
        let auth = AuthTable::new(&settings.operators);
        let ready = Arc::new(AtomicBool::new(false));
        let service = CallerService::new(
            settings.limits,
            auth.clone(),
            tx.clone(),
            operators.clone(),
            blocking.clone(),
            Arc::clone(&ready),
        );
        let http = HttpConfig {
            listen: settings.listen.callers,
            body_bytes: settings.limits.body_bytes,
            ingress,
        };
        let serve = move |exchange| service.serve(exchange);
        let server = HttpServer::start(http, runtime.handle(), serve)?;
        let stop = Arc::new(AtomicBool::new(false));
        let poll_interval = Duration::from_millis(timing.vm_list_poll_ms);
        let watches = vec![
            platform.spawn_config_watch(tx.clone(), Arc::clone(&stop)),
            platform.spawn_vm_list_poll(tx.clone(), Arc::clone(&stop), poll_interval),
        ];
        let idle_timeout = Duration::from_millis(timing.idle_connection_ms);
        let env = Environment {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            runtime: runtime.handle().clone(),
            blocking,
            tx: tx.clone(),
            executors: HttpExecutors::new(me, idle_timeout, connect_timeout),
            platform,
            peers: peers.clone(),
            auth,
            operators,
            metrics,
            ready,
        };
        Ok(Self {
            env,
            server,
            peers,
            watches,
            stop,
        })
    }
}

fn start_peers(
    settings: &Settings,
    ingress: &IngressLimits,
    me: Incarnation,
    tx: &InputSender,
    runtime: &tokio::runtime::Runtime,
) -> Result<PeerHub<Message>, Error> {
    let peer_timeout = Duration::from_millis(settings.timing.peer_silence_ms);
    let secret = settings.peer_secret.clone();
    let seeds = settings.peers.clone();
    let config = PeerConfig {
        max_handshakes: settings
            .limits
            .handshakes
            .unwrap_or_else(|| ingress.handshakes()),
        ..PeerConfig::new(me, secret, peer_timeout, settings.listen.peers, seeds)
    };
    PeerHub::start(config, runtime.handle(), tx.clone())
}

/// Runs the actor until it stops, then shuts down the other components.
fn run(node: Node, components: Components, rx: &Receiver<Input>, runtime: tokio::runtime::Runtime) {
    let Components {
        env,
        server,
        peers,
        watches,
        stop,
    } = components;
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let actor = actor!(s, NodeActor::init(node, env), ret_shutdown!(s));
    while s.not_shutdown() {
        s.run(Instant::now(), false);
        if s.not_shutdown() {
            queue_inputs(s, &actor, rx);
        }
    }
    stop.store(true, Ordering::Relaxed);
    drop(actor);
    s.run(Instant::now(), false);
    server.close();
    peers.close();
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    // The watch threads end after their current call; they are not joined.
    drop(watches);
}

/// Waits for an input or the next timer, and passes a batch of inputs to the actor.
fn queue_inputs(s: &mut Stakker, actor: &ActorOwn<NodeActor>, rx: &Receiver<Input>) {
    let wait = s.next_wait_max(Instant::now(), MAX_INPUT_WAIT, false);
    let first = match rx.recv_timeout(wait) {
        Ok(input) => input,
        Err(RecvTimeoutError::Timeout) => return,
        Err(RecvTimeoutError::Disconnected) => {
            s.shutdown(stakker::StopCause::Stopped);
            return;
        }
    };
    s.run(Instant::now(), false);
    call!([actor], handle_input(first));
    for input in rx.try_iter().take(MAX_INPUT_BATCH) {
        call!([actor], handle_input(input));
    }
}
