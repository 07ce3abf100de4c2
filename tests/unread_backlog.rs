//! What lies in the sockets after a stall is read before the next tick.

use cardamomslip::guarded::{
    Adapter, DispatcherMetrics, Input, InputSender, JobResponder, Setup, WorkerClient, run,
};
use cardamomslip::http::{Exchange, HttpConfig, HttpServer, Ingress, ReadHorizon};
use cardamomslip::peers::{PeerConfig, PeerHub};
use cardamomslip::settings::Secret;
use cardamomslip_core::guarded::action::{Poll, Start, Stop};
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::model::cancel::CancelOutcome;
use cardamomslip_core::guarded::model::evacuations::Evacuations;
use cardamomslip_core::guarded::model::queue::QueueTable;
use cardamomslip_core::guarded::{Dispatcher, Event, Identity, Policy};
use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

const ME: Incarnation = Incarnation {
    data_centre: DataCentreId(1),
    vm: VmId(1),
    nonce: 1,
};
/// Length of the stall, which makes the next tick overdue.
const STALL: Duration = Duration::from_millis(400);
/// Time limit for the ticks after the stall.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time from the end of the stall to the next tick.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// Number of ticks before the stall.
const TICKS_BEFORE_STALL: usize = 3;

/// Held by the test that runs, since one of them stops the process.
static RUNNING: Mutex<()> = Mutex::new(());

/// What the clients do during the stall.
type During = Box<dyn FnOnce() + Send>;

/// What the actor came to know, and when.
#[derive(Default)]
struct Observed {
    during_stall: Option<During>,
    ticks: usize,
    last_tick_at: Option<Instant>,
    /// Whether the whole process is stopped instead of the runtime.
    stops_process: bool,
    /// End of the stall.
    stalled_until: Option<Instant>,
    /// Whether what was sent during the stall was known at the first tick after it.
    is_known: bool,
    first_tick_at: Option<Instant>,
    /// A request whose client has sent it before the stall.
    exchange: Option<Exchange>,
    horizon: ReadHorizon,
    /// Maximum age of a byte that was sent during the stall, when it was read.
    age_when_read: Option<Duration>,
    /// Maximum age of what is read, at the first tick after the stall.
    age_at_tick: Option<Duration>,
    /// Time that each tick takes from the begin of what happens during the stall; then there is no stall.
    tick_time: Option<Duration>,
    /// Real time from the sending of a byte to its reading.
    real_age_when_read: Option<Duration>,
}

/// An adapter that stalls the actor's runtime once, and observes the next tick.
struct StallingAdapter {
    observed: Arc<Mutex<Observed>>,
    done: mpsc::UnboundedSender<()>,
    workers: NoWorkers,
}

impl Adapter for StallingAdapter {
    type Responder = NoClient;
    type Workers = NoWorkers;

    fn workers(&mut self) -> &mut NoWorkers {
        &mut self.workers
    }

    fn set_queues(&mut self, _: &Arc<QueueTable>) {}

    fn set_evacuations(&mut self, _: &Arc<Evacuations>) {}

    fn follow_workers(&mut self, _: bool) {}

    fn begin_stop(&mut self) {
        self.observed.lock().expect("a lock").is_known = true;
    }

    /// Called at the end of each tick.
    fn set_ready(&mut self, _: bool) {
        let mut observed = self.observed.lock().expect("a lock");
        observed.ticks += 1;
        let last_tick_at = observed.last_tick_at.replace(Instant::now());
        let gap = last_tick_at.map_or(Duration::ZERO, |at| at.elapsed());
        if let Some(time) = observed.tick_time
            && observed.ticks > TICKS_BEFORE_STALL
        {
            if let Some(during) = observed.during_stall.take() {
                during();
            }
            if observed.age_when_read.is_some() {
                let _ = self.done.send(());
            }
            drop(observed);
            std::thread::sleep(time);
        } else if observed.stalled_until.is_some() || gap >= STALL {
            let exchange = observed.exchange.as_ref();
            observed.is_known |= exchange.is_some_and(Exchange::is_abandoned);
            observed.first_tick_at.get_or_insert_with(Instant::now);
            let age = observed.horizon.max_age();
            observed.age_at_tick.get_or_insert(age);
            let _ = self.done.send(());
        } else if observed.ticks > TICKS_BEFORE_STALL
            && let Some(during) = observed.during_stall.take()
        {
            during();
            if observed.stops_process {
                return;
            }
            std::thread::sleep(STALL);
            observed.stalled_until = Some(Instant::now());
        }
    }
}

#[derive(Debug)]
struct NoClient;

impl JobResponder for NoClient {
    fn is_abandoned(&self) -> bool {
        false
    }

    fn respond(self, _: Answer) {}

    fn acknowledge(self, _: CancelOutcome) {}
}

struct NoWorkers;

impl WorkerClient for NoWorkers {
    fn poll(&mut self, _: Poll) {}

    fn start(&mut self, _: Start) {}

    fn stop(&mut self, _: Stop) {}
}

/// Reads a byte and reports it as an event that the adapter learns of when it is handled.
async fn report_byte(mut stream: tokio::net::TcpStream, tx: InputSender<NoClient>) {
    stream.read_u8().await.expect("a byte");
    tx.send_event(Event::Stop);
}

fn listen() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    listener.set_nonblocking(true).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let listener = tokio::net::TcpListener::from_std(listener);
    (listener.expect("a listener"), address)
}

/// Accepts connections and reports the first byte of each.
fn serve_bytes(tx: &InputSender<NoClient>) -> SocketAddr {
    let (listener, address) = listen();
    let tx = tx.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(report_byte(stream, tx.clone()));
        }
    });
    address
}

/// Sends a byte on a connection that was opened before the stall.
fn send_on_open_connection(tx: &InputSender<NoClient>, _: &Arc<Mutex<Observed>>) -> During {
    let mut stream = TcpStream::connect(serve_bytes(tx)).expect("a connection");
    Box::new(move || stream.write_all(b"x").expect("a connection"))
}

/// Sends a byte on a connection that is opened during the stall.
fn send_on_new_connection(tx: &InputSender<NoClient>, _: &Arc<Mutex<Observed>>) -> During {
    let address = serve_bytes(tx);
    Box::new(move || {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(b"x").expect("a connection");
    })
}

/// Stops the process while the runtime waits for its sockets, and sends a byte on a connection that was
/// opened before. Another process does that, since the threads of this one stand still.
fn send_while_stopped(tx: &InputSender<NoClient>, observed: &Arc<Mutex<Observed>>) -> During {
    observed.lock().expect("a lock").stops_process = true;
    let stream = TcpStream::connect(serve_bytes(tx)).expect("a connection");
    let script = r#"sleep 0.02; kill -STOP "$1"; sleep 0.1; printf x; sleep 0.4; kill -CONT "$1""#;
    let mut shell = Command::new("sh");
    shell.args(["-c", script, "sh", &std::process::id().to_string()]);
    shell.stdout(Stdio::from(OwnedFd::from(stream)));
    Box::new(move || {
        std::thread::spawn(move || shell.status().expect("a shell"));
    })
}

/// Sends a byte whose age the reader of the connection notes.
fn send_to_timing_reader(_: &InputSender<NoClient>, observed: &Arc<Mutex<Observed>>) -> During {
    let (listener, address) = listen();
    let observed = Arc::clone(observed);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_u8().await.expect("a byte");
        let mut observed = observed.lock().expect("a lock");
        observed.age_when_read = Some(observed.horizon.max_age());
    });
    let mut stream = TcpStream::connect(address).expect("a connection");
    Box::new(move || stream.write_all(b"x").expect("a connection"))
}

/// Closes the connection of a request that has not been answered.
fn close_request(_: &InputSender<NoClient>, observed: &Arc<Mutex<Observed>>) -> During {
    let config = HttpConfig {
        listen: "127.0.0.1:0".parse().expect("an address"),
        body_bytes: 1_000,
        ingress: Ingress::default(),
    };
    let observed = Arc::clone(observed);
    let handle = move |exchange| observed.lock().expect("a lock").exchange = Some(exchange);
    let server = HttpServer::start(config, &tokio::runtime::Handle::current(), handle);
    let server = server.expect("a server");
    let mut stream = TcpStream::connect(server.address()).expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";
    stream.write_all(request).expect("a connection");
    Box::new(move || {
        drop(stream);
        drop(server);
    })
}

/// Keeps a task busy that adds an input each time it runs, from the stall on.
fn keep_busy(tx: &InputSender<NoClient>, observed: &Arc<Mutex<Observed>>) -> During {
    let (tx, observed) = (tx.clone(), Arc::clone(observed));
    tokio::spawn(async move {
        loop {
            let stalled = observed.lock().expect("a lock").stalled_until.is_some();
            if stalled {
                tx.send_event(Event::VmsListed(Vec::new()));
            }
            tokio::task::yield_now().await;
        }
    });
    Box::new(|| {})
}

/// Runs the actor over a stall until the first tick after it.
fn observe(prepare: fn(&InputSender<NoClient>, &Arc<Mutex<Observed>>) -> During) -> Observed {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let (tx, rx) = mpsc::unbounded_channel::<Input<NoClient>>();
    let (tx, observed) = (InputSender::new(tx), Arc::<Mutex<Observed>>::default());
    let (done, mut done_rx) = mpsc::unbounded_channel();
    let secret = Secret::new("a secret of the peers".to_owned());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = PeerConfig::new(ME, secret, TEST_TIMEOUT, listen, Vec::new());
    let peers = PeerHub::start(config, runtime.handle(), tx.clone()).expect("a hub");
    let identity = Identity { me: ME, weight: 1 };
    let adapter = StallingAdapter {
        observed: Arc::clone(&observed),
        done,
        workers: NoWorkers,
    };
    let setup = Setup {
        dispatcher: Dispatcher::new(identity, Policy::default()),
        adapter,
        peers,
        metrics: DispatcherMetrics::default(),
        horizon: observed.lock().expect("a lock").horizon.clone(),
    };
    runtime.block_on(async {
        let during = prepare(&tx, &observed);
        observed.lock().expect("a lock").during_stall = Some(during);
        tokio::select! {
            () = run(setup, rx) => panic!("the actor has ended"),
            _ = done_rx.recv() => {}
            () = tokio::time::sleep(TEST_TIMEOUT) => panic!("no tick after the stall"),
        }
    });
    drop(runtime);
    let mut observed = observed.lock().expect("a lock");
    std::mem::take(&mut *observed)
}

/// Defines a test for each thing that happens during a stall and must be known at the next tick.
macro_rules! unread_tests {
    ($($(#[$doc:meta])* $name:ident: $prepare:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert!(observe($prepare).is_known, "the tick came first");
        }
    )*};
}

unread_tests! {
    /// Guards against a tick that judges a peer whose message lies unread.
    bytes_on_an_open_connection_are_read_before_the_tick: send_on_open_connection;
    /// Guards against a tick that judges a peer that has connected anew.
    bytes_on_a_new_connection_are_read_before_the_tick: send_on_new_connection;
    /// Guards against a stop that interrupts the wait for the sockets, after which only timers run.
    bytes_that_arrive_while_stopped_are_read_before_the_tick: send_while_stopped;
    /// Guards against a heartbeat that vouches for a job whose client has left.
    a_closed_request_is_known_before_the_tick: close_request;
}

/// Guards against a tick that waits for a busy task.
#[test]
fn a_busy_task_does_not_hold_back_the_tick() {
    let observed = observe(keep_busy);
    let (from, until) = (observed.stalled_until, observed.first_tick_at);
    let delay = until
        .expect("a tick")
        .duration_since(from.expect("a stall"));
    assert!(delay < MAX_TICK_DELAY, "{delay:?}");
}

/// Guards against bytes that count as new although they lay unread during a stall.
#[test]
fn the_age_of_unread_bytes_covers_the_stall() {
    let observed = observe(send_to_timing_reader);
    let when_read = observed.age_when_read.expect("a byte");
    assert!(when_read >= STALL, "{when_read:?}");
    let at_tick = observed.age_at_tick.expect("a tick");
    assert!(at_tick < MAX_TICK_DELAY, "{at_tick:?}");
}

/// Number of inputs that are queued when the byte is sent, more than one pass takes up.
const QUEUED_INPUTS: usize = 300;
/// Time of each tick, too short for the next pass to count as late.
const TICK_TIME: Duration = Duration::from_millis(40);

/// Queues more inputs than one pass takes up and sends a byte, on a VM whose ticks are slow.
fn send_behind_full_queue(tx: &InputSender<NoClient>, observed: &Arc<Mutex<Observed>>) -> During {
    let (listener, address) = listen();
    let sent_at = Arc::<Mutex<Option<Instant>>>::default();
    let (reader, sent) = (Arc::clone(observed), Arc::clone(&sent_at));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_u8().await.expect("a byte");
        let sent_at = sent.lock().expect("a lock").expect("it was sent");
        let mut observed = reader.lock().expect("a lock");
        observed.age_when_read = Some(observed.horizon.max_age());
        observed.real_age_when_read = Some(sent_at.elapsed());
    });
    let mut stream = TcpStream::connect(address).expect("a connection");
    observed.lock().expect("a lock").tick_time = Some(TICK_TIME);
    let tx = tx.clone();
    Box::new(move || {
        for _ in 0..QUEUED_INPUTS {
            tx.send_event(Event::VmsListed(Vec::new()));
        }
        *sent_at.lock().expect("a lock") = Some(Instant::now());
        stream.write_all(b"x").expect("a connection");
    })
}

/// Guards against a horizon that moves with each pass although several passes follow one another
/// without a turn of the I/O driver.
#[test]
fn the_age_of_unread_bytes_covers_passes_over_a_full_queue() {
    let observed = observe(send_behind_full_queue);
    let real = observed.real_age_when_read.expect("a byte");
    let known = observed.age_when_read.expect("a byte");
    println!("unread for {real:?}, at most {known:?} by the horizon");
    assert!(
        known >= real,
        "unread for {real:?}, {known:?} by the horizon"
    );
}
