//! The entry daemon as a whole.

use crate::callers::{AuthTable, CallerService};
use crate::error::{Error, ErrorKind};
use crate::executors::HttpExecutors;
use crate::http::{HttpConfig, HttpServer};
use crate::input::{Input, InputSender};
use crate::names::{data_centre_id, vm_id};
use crate::node_actor::{NodeActor, Surroundings};
use crate::operators::{NodeMetrics, OperatorApi};
use crate::peers::{PeerConfig, PeerHub};
use crate::platform::{PlatformClient, PlatformLink};
use crate::settings::Settings;
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

/// Threads for connections of callers and peers.
const WORKER_THREADS: usize = 2;
/// Threads for blocking calls at most: starts in flight, requests being read or answered.
const MAX_BLOCKING_THREADS: usize = 2_048;
/// Stack of a thread for blocking calls, in bytes.
const BLOCKING_STACK: usize = 256 * 1024;
/// Time after which the loop looks whether it is to end.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Inputs that are taken in before the actor runs.
const MAX_BATCH: usize = 256;
/// Time for which blocking calls may finish when the process stops.
const RUNTIME_TIMEOUT: Duration = Duration::from_secs(2);

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
/// println!("callers reach it at {}", daemon.caller_address());
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

/// Tells a running daemon to stop. Clones reach the same daemon.
#[derive(Clone, Debug)]
pub struct StopHandle {
    tx: InputSender,
}

impl StopHandle {
    /// Begins the graceful stop.
    pub fn stop(&self) {
        self.tx.event(Event::Stop);
    }

    /// Ends the daemon at once; what is in flight is cut off and logged.
    pub fn abandon(&self) {
        self.tx.send(Input::Abandon);
    }
}

impl Daemon {
    /// Starts a daemon: opens its sockets and connects to platform and peers.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Listen`] if a socket can't be opened, and of kind
    /// [`ErrorKind::Thread`] if a thread can't be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let me = incarnation(&settings);
        let (tx, rx) = mpsc::channel();
        let tx = InputSender::new(tx);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(MAX_BLOCKING_THREADS)
            .thread_stack_size(BLOCKING_STACK)
            .enable_all()
            .build()
            .map_err(|e| Error::new(ErrorKind::Thread, e.to_string()))?;
        let parts = Parts::new(&settings, me, &tx, &runtime)?;
        let (caller_address, peer_address) = (parts.server.address(), parts.peers.address());
        let node = Node::with_id_key(
            Identity {
                me,
                weight: settings.weight,
                seed: rand::random(),
            },
            settings.policy(),
            IdKey(rand::random()),
        );
        tracing::info!(incarnation = %me, %caller_address, %peer_address, "started");
        let thread = std::thread::Builder::new()
            .name(format!("node-{}", settings.name))
            .spawn(move || run(node, parts, &rx, runtime))
            .map_err(|e| Error::new(ErrorKind::Thread, e.to_string()))?;
        Ok(Self {
            tx,
            caller_address,
            peer_address,
            incarnation: me,
            thread,
        })
    }

    /// Returns the address for callers and operators.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for peers.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns a handle that stops the daemon from elsewhere.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            tx: self.tx.clone(),
        }
    }

    /// Waits until the daemon ended.
    pub fn wait(self) {
        // A panic of the thread was logged by the panic hook already.
        drop(self.thread.join());
    }

    /// Stops the daemon gracefully and waits until it ended.
    pub fn close(self) {
        self.stop_handle().stop();
        self.wait();
    }
}

fn incarnation(settings: &Settings) -> Incarnation {
    Incarnation {
        data_centre: data_centre_id(&settings.data_centre),
        vm: vm_id(&settings.name),
        nonce: rand::random(),
    }
}

/// Everything around the node.
struct Parts {
    around: Surroundings,
    server: HttpServer,
    peers: PeerHub<Message>,
    watches: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Parts {
    fn new(
        settings: &Settings,
        me: Incarnation,
        tx: &InputSender,
        runtime: &tokio::runtime::Runtime,
    ) -> Result<Self, Error> {
        let timing = &settings.timing;
        let connect = Duration::from_millis(timing.connect_timeout_ms);
        let platform = PlatformLink::new(PlatformClient::new(settings.platform, connect));
        let metrics = NodeMetrics::default();
        let operators = OperatorApi::new(tx.clone(), platform.clone(), metrics.clone());
        let auth = AuthTable::new(&settings.operators);
        let ready = Arc::new(AtomicBool::new(false));
        let peers = start_peers(settings, me, tx, runtime)?;
        let service = CallerService::new(
            settings.limits,
            auth.clone(),
            tx.clone(),
            operators.clone(),
            runtime.handle().clone(),
            Arc::clone(&ready),
        );
        let http = HttpConfig {
            listen: settings.listen.callers,
            body_bytes: settings.limits.body_bytes,
        };
        let serve = move |exchange| service.serve(exchange);
        let server = HttpServer::start(http, runtime.handle(), serve)?;
        let stop = Arc::new(AtomicBool::new(false));
        let poll = Duration::from_millis(timing.vm_list_poll_ms);
        let watches = vec![
            platform.spawn_config_watch(tx.clone(), Arc::clone(&stop)),
            platform.spawn_vm_list_poll(tx.clone(), Arc::clone(&stop), poll),
        ];
        let idle_age = Duration::from_millis(timing.idle_connection_ms);
        let around = Surroundings {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            runtime: runtime.handle().clone(),
            tx: tx.clone(),
            executors: HttpExecutors::new(me, idle_age, connect),
            platform,
            peers: peers.clone(),
            auth,
            operators,
            metrics,
            ready,
        };
        Ok(Self {
            around,
            server,
            peers,
            watches,
            stop,
        })
    }
}

fn start_peers(
    settings: &Settings,
    me: Incarnation,
    tx: &InputSender,
    runtime: &tokio::runtime::Runtime,
) -> Result<PeerHub<Message>, Error> {
    let silence = Duration::from_millis(settings.timing.peer_silence_ms);
    let secret = settings.peer_secret.clone();
    let seeds = settings.peers.clone();
    let config = PeerConfig::new(me, secret, silence, settings.listen.peers, seeds);
    PeerHub::start(config, runtime.handle(), tx.clone())
}

/// Runs the actor until it stops, then closes everything around it.
fn run(node: Node, parts: Parts, rx: &Receiver<Input>, runtime: tokio::runtime::Runtime) {
    let Parts {
        around,
        server,
        peers,
        watches,
        stop,
    } = parts;
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let actor = actor!(s, NodeActor::init(node, around), ret_shutdown!(s));
    while s.not_shutdown() {
        s.run(Instant::now(), false);
        if s.not_shutdown() {
            take_inputs(s, &actor, rx);
        }
    }
    stop.store(true, Ordering::Relaxed);
    drop(actor);
    s.run(Instant::now(), false);
    server.close();
    peers.close();
    runtime.shutdown_timeout(RUNTIME_TIMEOUT);
    // The watches end by themselves after their present call.
    drop(watches);
}

/// Waits for inputs or the next timer, and passes a batch of inputs on.
fn take_inputs(s: &mut Stakker, actor: &ActorOwn<NodeActor>, rx: &Receiver<Input>) {
    let wait = s.next_wait_max(Instant::now(), MAX_WAIT, false);
    let first = match rx.recv_timeout(wait) {
        Ok(input) => input,
        Err(RecvTimeoutError::Timeout) => return,
        Err(RecvTimeoutError::Disconnected) => {
            s.shutdown(stakker::StopCause::Stopped);
            return;
        }
    };
    s.run(Instant::now(), false);
    call!([actor], input(first));
    for input in rx.try_iter().take(MAX_BATCH) {
        call!([actor], input(input));
    }
}
