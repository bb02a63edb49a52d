//! Requests to the state service, the cloud and workers, and what is read of the answers.

use crate::golden::Golden;
use crate::values::*;
use cypressgap::core::capacity::Rented;
use cypressgap::core::ledger::{self, Batch, Op, Value, Verdict};
use cypressgap::core::model::*;
use cypressgap::core::status_reads::Records;
use cypressgap::net::agent;
use cypressgap::net::cloud::Cloud;
use cypressgap::net::http::Client;
use cypressgap::net::store::{Asked, Change, Content, Store, StoreError, Txn};
use cypressgap::net::store_budget::Budgets;
use cypressgap::net::wire::RentRequest;
use cypressgap::runtime::budget::Rank;
use cypressgap::runtime::metrics::Meter;
use cypressgap::runtime::stop::Stop;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{spawn, JoinHandle};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(5);

/// A service that gives these answers and returns the requests, each as its line and its body.
fn service(answers: Vec<(u16, Vec<u8>)>) -> (SocketAddr, JoinHandle<Vec<Vec<u8>>>) {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a port");
    let address = server.server_addr().to_ip().expect("an address");
    let requests = spawn(move || {
        let mut requests = Vec::new();
        for (status, answer) in answers {
            let request = server.recv_timeout(LIMIT).expect("a connection");
            let mut request = request.expect("a request");
            let line = format!("{} {}\n", request.method(), request.url());
            let mut bytes = line.into_bytes();
            let body = request.as_reader().read_to_end(&mut bytes);
            body.expect("the body");
            requests.push(bytes);
            let response = tiny_http::Response::from_data(answer).with_status_code(status);
            request.respond(response).expect("sent");
        }
        requests
    });
    (address, requests)
}

/// One call: its name, the statuses of its answers, which are rows too, and the call itself.
type Call<C> = (&'static str, &'static [u16], fn(&C));

fn check_calls<C>(golden: &mut Golden, calls: &[Call<C>], client: fn(Client) -> C) {
    for (name, statuses, call) in calls {
        let answer =
            |(n, status): (usize, &u16)| (*status, golden.sample(&format!("{name}: answer {n}")));
        let answers = statuses.iter().enumerate().map(answer).collect();
        let (address, requests) = service(answers);
        let meter = Arc::new(Meter::new());
        call(&client(Client::new(address, LIMIT, 1, meter)));
        for (n, request) in requests.join().expect("requests").iter().enumerate() {
            golden.written(&format!("{name}: request {n}"), request);
        }
    }
}

fn store(client: Client) -> Store {
    Store::new(client, Budgets::new(1e6, 1e6, 1, Instant::now()))
}

/// A transaction that makes all kinds of changes.
fn transaction(store: &Store) -> Result<Txn, StoreError> {
    let put = |key, value, permit| Change::Put { key, value, permit };
    let changes = vec![
        put(
            "q/l/wk-000412",
            Content::Job(Box::new((&job()).into())),
            None,
        ),
        put("ctl/term", Content::Number(4), Some(9)),
        Change::Delete {
            key: "q/w/wk-000412",
        },
    ];
    let conditions = [("ctl/leader".to_owned(), 50), ("j/wk-000412".to_owned(), 0)];
    store.txn(&conditions, changes, Rank::User, LIMIT)
}

fn conditions_alone(store: &Store) -> Result<Txn, StoreError> {
    let conditions = [("j/wk-000412".to_owned(), 0)];
    store.txn(&conditions, vec![], Rank::User, LIMIT)
}

fn batch() -> Batch {
    let uid = uid();
    Batch {
        conditions: vec![("ctl/leader".into(), 50)],
        ops: vec![
            Op::Put(ledger::chunk_key(&uid, 0), Value::Chunk(chunk())),
            Op::Put(ledger::job_key(&uid), Value::Verdict(Verdict::Done)),
            Op::Delete(ledger::live_key(&uid)),
        ],
    }
}

const STORE_CALLS: &[Call<Store>] = &[
    ("get", &[200], |s| {
        let entry = s.get::<u64>("ctl/term", Rank::Leader, LIMIT).expect("read");
        assert_eq!(entry.map(|e| (e.value, e.stamp)), Some((4, 51)));
    }),
    ("get of what is absent", &[404], |s| {
        let entry = s.get::<u64>("ctl/term", Rank::Leader, LIMIT).expect("read");
        assert!(entry.is_none());
    }),
    ("list", &[200, 200], |s| {
        let (pairs, revision) = s.list::<u64>("q/w/", Rank::Leader, LIMIT).expect("read");
        let pairs = pairs.into_iter().map(|p| (p.path, p.value, p.stamp));
        let expected = [
            ("q/w/wk-000411".into(), 1, 52),
            ("q/w/wk-000412".into(), 1, 53),
        ];
        assert_eq!((pairs.collect::<Vec<_>>(), revision), (expected.into(), 60));
    }),
    ("transaction", &[200], |s| {
        assert_eq!(transaction(s), Ok(Txn::Applied { revision: 61 }));
    }),
    ("transaction that fails", &[409], |s| {
        let keys = vec!["j/wk-000412".to_owned()];
        assert_eq!(conditions_alone(s), Ok(Txn::Failed { keys }));
    }),
    ("transaction on an ended lease", &[400], |s| {
        assert_eq!(conditions_alone(s), Err(StoreError::NoLease));
    }),
    ("batch", &[200], |s| {
        assert_eq!(s.apply(&batch(), LIMIT), Ok(Txn::Applied { revision: 61 }));
    }),
    ("lease", &[200], |s| {
        assert_eq!(s.lease(secs(4.0), LIMIT), Ok(9))
    }),
    ("extension", &[200], |s| {
        assert_eq!(s.extend(9, LIMIT), Ok(()))
    }),
    ("end of a lease", &[200], |s| {
        assert_eq!(s.drop_lease(9, LIMIT), Ok(()))
    }),
    ("watch", &[200], |s| {
        let changes = s.follow::<u64>("q/", 60, secs(5.0)).expect("read");
        let log = changes
            .log
            .into_iter()
            .map(|c| (c.put, c.delete, c.value, c.stamp));
        let key = || Some("q/w/wk-000412".to_owned());
        let expected = vec![(key(), None, Some(1), Some(61)), (None, key(), None, None)];
        assert_eq!((log.collect::<Vec<_>>(), changes.revision), (expected, 62));
    }),
    ("verdict", &[200, 200], |s| {
        let verdict = s.verdict(&uid(), false, LIMIT);
        assert_eq!(verdict, Ok(Some((Verdict::Cancelled, 63))));
    }),
    ("verdicts", &[200], |s| {
        let stop = Stop::new();
        let page = Asked::new(s, &stop, Rank::User, Instant::now() + LIMIT).verdicts("j/wk-0");
        let expected = vec![("j/wk-000412".to_owned(), Verdict::Done)];
        assert_eq!(page, Ok((expected, true)));
    }),
];

const CLOUD_CALLS: &[Call<Cloud>] = &[
    ("types", &[200], |c| {
        let types = c.types().expect("read").host_types;
        assert_eq!(types[0].to_type(), Some(machine_type(8.0, 50.0, 0.5)));
    }),
    ("rental", &[200], |c| {
        let hosts = vec!["i-000231".into(), "i-000232".into()];
        assert_eq!(c.rent(&rental()), Rented::Hosts(hosts));
    }),
    ("rental refused", &[503], |c| {
        assert_eq!(c.rent(&rental()), Rented::NoCapacity)
    }),
    ("return", &[200], |c| {
        assert!(c.give_back(&["i-000231".into(), "i-000232".into()]));
    }),
    ("machines", &[200], |c| {
        let listed = |id: &str, endpoint: &str, phase| Listed {
            id: id.into(),
            endpoint: endpoint.into(),
            host_type: "g8".into(),
            site: "hall-a".into(),
            spot: true,
            phase,
            age: secs(12.5),
        };
        let machines = vec![
            listed("i-000231", "", ListedPhase::Booting),
            listed("i-000232", "10.1.0.232:9000", ListedPhase::Running),
            listed("i-000233", "", ListedPhase::Failed),
        ];
        assert_eq!(c.list("i-000230"), Some((machines, true)));
    }),
    ("first machines", &[200], |c| {
        assert_eq!(c.list(""), Some((vec![], false)))
    }),
];

fn rental() -> RentRequest {
    RentRequest {
        claim: "t4-1".into(),
        host_type: "g8".into(),
        site: "hall-a".into(),
        preemptible: true,
        number: 2,
    }
}

#[test]
fn requests_to_the_state_service_the_cloud_and_workers() {
    let mut golden = Golden::of(include_str!("requests.txt"));
    check_calls(&mut golden, STORE_CALLS, store);
    check_calls(&mut golden, CLOUD_CALLS, Cloud::new);
    let (address, requests) = service(vec![(409, vec![1, 2])]);
    let answer = agent::deliver(&agent::client(1), &address.to_string(), &[7, 8]);
    assert_eq!(answer, Some(vec![1, 2]));
    golden.written("commands", &requests.join().expect("a request")[0]);
    golden.finish();
}
