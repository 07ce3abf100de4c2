//! Decisions of the ingress budget, without a network. They answer clients that open many connections,
//! send many bodies that stop just short of their end, or send nothing.

use cardamomslip::http::{CloseReason, Decision, IngressLimits, IngressTable};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

const KIB: usize = 1024;
const LIMITS: IngressLimits = IngressLimits {
    bytes: 1024 * KIB,
    connections: 4,
    head_bytes: 16 * KIB,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
};
const SECOND: Duration = Duration::from_secs(1);

/// A table, its clock, and the connections that it has closed.
struct Case {
    table: IngressTable<&'static str>,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        Self {
            table: IngressTable::new(LIMITS),
            now: Instant::now(),
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// Opens a connection for which there is room.
    fn open(&mut self, name: &'static str, client: IpAddr) -> usize {
        assert_eq!(self.table.decide_open(self.now, client), Decision::Admit);
        self.table.open(self.now, client, name)
    }

    /// Receives a complete request.
    fn serve(&mut self, key: usize) {
        self.table.record_read(self.now, key, 300);
        assert!(self.table.begin_service(self.now, key));
    }

    /// Begins to receive a body and charges `bytes` of it.
    fn begin_body(&mut self, key: usize, missing: usize, bytes: usize) {
        self.table.record_read(self.now, key, 300);
        self.table.begin_body(self.now, key, missing);
        assert_eq!(self.table.charge(self.now, key, bytes), Decision::Admit);
    }
}

const fn client(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// Defines tests that each run on a table of their own.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let body: fn(&mut Case) = $body;
            body(&mut Case::new());
        })*
    };
}

cases! {
    /// Idle connections up to the limit: the one idle longest makes room, and its room counts only once
    /// it has been released.
    the_connection_idle_longest_makes_room => |case| {
        let keys = ["a", "b", "c", "d"].map(|name| {
            case.wait(SECOND);
            case.open(name, client(1))
        });
        let decision = case.table.decide_open(case.now, client(1));
        assert_eq!(decision, Decision::Close(keys[0]));
        assert_eq!(case.table.close(keys[0], CloseReason::Connections), Some("a"));
        assert_eq!(case.table.decide_open(case.now, client(1)), Decision::Wait);
        case.table.remove(keys[0]);
        assert_eq!(case.table.decide_open(case.now, client(1)), Decision::Admit);
    };

    /// Connections with a complete request are never closed, whatever is asked for: its job may have
    /// started.
    complete_requests_are_not_closed => |case| {
        for name in ["a", "b", "c", "d"] {
            let key = case.open(name, client(1));
            case.serve(key);
        }
        case.wait(100 * SECOND);
        assert_eq!(case.table.decide_open(case.now, client(2)), Decision::Refuse);
        assert_eq!(case.table.stats().refused_connections, 1);
        assert!(case.table.close_expired(case.now).is_empty());
    };

    /// A crowd at one address doesn't cost the clients at others their connections.
    the_address_with_most_connections_makes_room => |case| {
        case.open("calm", client(1));
        case.wait(10 * SECOND);
        let first = case.open("crowd", client(2));
        case.open("crowd", client(2));
        case.open("crowd", client(2));
        assert_eq!(case.table.decide_open(case.now, client(3)), Decision::Close(first));
        assert_eq!(case.table.decide_open(case.now, client(2)), Decision::Close(first));
    };

    /// Addresses that a client of IPv6 can choose count as one.
    addresses_of_one_network_count_together => |case| {
        let address = |host| IpAddr::V6(Ipv6Addr::new(0x2001, 0xdb8, 0, 1, 0, 0, 0, host));
        case.open("calm", client(1));
        case.wait(10 * SECOND);
        let first = case.open("crowd", address(1));
        case.open("crowd", address(2));
        case.open("crowd", address(3));
        assert_eq!(case.table.decide_open(case.now, client(1)), Decision::Close(first));
    };

    /// Bodies that stop short: among those idle for as long, the one with most missing makes room.
    the_body_furthest_from_its_end_makes_room => |case| {
        let near = case.open("near", client(1));
        case.begin_body(near, 1, 400 * KIB);
        let far = case.open("far", client(1));
        case.begin_body(far, 200 * KIB, 400 * KIB);
        case.wait(SECOND);
        let newest = case.open("newest", client(1));
        case.table.record_read(case.now, newest, 300);
        case.table.begin_body(case.now, newest, 300 * KIB);
        let decision = case.table.charge(case.now, newest, 200 * KIB);
        assert_eq!(decision, Decision::Close(far));
    };

    /// A client that sends byte by byte counts as idle.
    single_bytes_are_no_progress => |case| {
        let slow = case.open("slow", client(1));
        case.begin_body(slow, 300 * KIB, 400 * KIB);
        case.wait(SECOND);
        case.table.record_read(case.now, slow, 1);
        let fast = case.open("fast", client(1));
        case.begin_body(fast, 300 * KIB, 400 * KIB);
        case.table.record_read(case.now, slow, 1);
        let newest = case.open("newest", client(1));
        case.table.begin_body(case.now, newest, 300 * KIB);
        let decision = case.table.charge(case.now, newest, 200 * KIB);
        assert_eq!(decision, Decision::Close(slow));
    };

    /// A request that could not be held even alone closes nobody else's connection.
    a_demand_over_the_limit_closes_nothing => |case| {
        let other = case.open("other", client(1));
        case.begin_body(other, 1, 400 * KIB);
        let large = case.open("large", client(1));
        case.table.begin_body(case.now, large, 1);
        let decision = case.table.charge(case.now, large, 2_000 * KIB);
        assert_eq!(decision, Decision::Refuse);
        assert_eq!(case.table.stats().refused_requests, 1);
    };

    /// A head that has begun has less time than a connection without one.
    heads_and_idle_connections_time_out => |case| {
        let head = case.open("head", client(1));
        case.open("idle", client(1));
        case.table.record_read(case.now, head, 2);
        case.wait(LIMITS.head_timeout);
        assert_eq!(case.table.close_expired(case.now), ["head"]);
        case.wait(LIMITS.idle_timeout);
        assert_eq!(case.table.close_expired(case.now), ["idle"]);
        let stats = case.table.stats();
        assert_eq!((stats.closed_by_head_timeout, stats.closed_by_idle_timeout), (1, 1));
    };

    /// Pieces of a next request that are sent while one is served begin its head.
    a_head_sent_ahead_times_out => |case| {
        let key = case.open("ahead", client(1));
        case.serve(key);
        case.table.record_read(case.now, key, 10);
        case.table.begin_reply(case.now, key);
        case.table.end_request(case.now, key);
        case.wait(LIMITS.head_timeout);
        assert_eq!(case.table.close_expired(case.now), ["ahead"]);
    };

    /// All that was charged is released, also by a connection that ends while it is being closed.
    everything_is_released => |case| {
        let key = case.open("a", client(1));
        case.begin_body(key, 100, 100 * KIB);
        assert_eq!(case.table.charge_buffers(case.now, key), Decision::Admit);
        let other = case.open("b", client(2));
        case.begin_body(other, 100, 100 * KIB);
        case.table.close(other, CloseReason::Bytes);
        case.table.release_request(other);
        case.table.remove(other);
        case.table.end_request(case.now, key);
        case.table.remove(key);
        let stats = case.table.stats();
        assert_eq!((stats.connections, stats.bytes), (0, 0));
        let all = LIMITS.bytes - 64 * KIB;
        let key = case.open("c", client(1));
        case.begin_body(key, 100, all);
    };

    /// A request whose connection is being closed is not served: nothing of it starts.
    a_closed_connection_is_not_served => |case| {
        let key = case.open("a", client(1));
        case.table.close(key, CloseReason::IdleTimeout);
        case.table.record_read(case.now, key, 300);
        assert!(!case.table.begin_service(case.now, key));
    };
}
