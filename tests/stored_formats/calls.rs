//! Requests to the store, the cloud and workers, and what is read of the answers.

use crate::golden::Golden;
use crate::values::*;
use cypressgap::common::metrics::LatencyMeter;
use cypressgap::common::rate_limit::RequestClass;
use cypressgap::common::stop_signal::StopSignal;
use cypressgap::core::capacity::RentalOutcome;
use cypressgap::core::model::*;
use cypressgap::core::persistence::job_status_reads::{JobRecordReader, OutcomeEntry, OutcomePage};
use cypressgap::core::persistence::keys;
use cypressgap::core::persistence::records::{JobOutcome, RecordValue};
use cypressgap::core::persistence::write_batch::{KeyCondition, WriteBatch, WriteOp};
use cypressgap::net::agent;
use cypressgap::net::cloud::{CloudClient, MachinePage};
use cypressgap::net::http_client::{HttpClient, HttpClientConfig};
use cypressgap::net::store::{
    Acceptance, BudgetedReader, Change, Entry, KvStore, ReadPurpose, StoreBudget, StoreError,
    StoredValue, TransactionOutcome,
};
use cypressgap::net::wire::RentRequest;
use cypressgap::settings::StoreRates;
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

fn check_calls<C>(golden: &mut Golden, calls: &[Call<C>], client: fn(HttpClient) -> C) {
    for (name, statuses, call) in calls {
        let answer =
            |(n, status): (usize, &u16)| (*status, golden.sample(&format!("{name}: answer {n}")));
        let answers = statuses.iter().enumerate().map(answer).collect();
        let (address, requests) = service(answers);
        let meter = Arc::new(LatencyMeter::new());
        let config = HttpClientConfig {
            address,
            connect_timeout: LIMIT,
            idle_connections: 1,
        };
        call(&client(HttpClient::new(config, meter)));
        for (n, request) in requests.join().expect("requests").iter().enumerate() {
            golden.written(&format!("{name}: request {n}"), request);
        }
    }
}

fn store(client: HttpClient) -> KvStore {
    KvStore::new(
        client,
        StoreBudget::new(
            StoreRates {
                requests: 1e6,
                changes: 1e6,
            },
            1,
            Instant::now(),
        ),
    )
}

/// A transaction that makes all kinds of changes.
fn transaction(store: &KvStore) -> Result<TransactionOutcome, StoreError> {
    let put = |key, value, lease| Change::Put { key, value, lease };
    let changes = vec![
        put(
            "q/l/wk-000412",
            StoredValue::Job(Box::new((&job()).into())),
            None,
        ),
        put("ctl/term", StoredValue::Number(4), Some(9)),
        Change::Delete {
            key: "q/w/wk-000412",
        },
    ];
    let conditions = [
        KeyCondition::at_revision("ctl/leader", 50),
        KeyCondition::absent("j/wk-000412"),
    ];
    store.transaction(&conditions, changes, RequestClass::User, LIMIT)
}

fn conditions_alone(store: &KvStore) -> Result<TransactionOutcome, StoreError> {
    let conditions = [KeyCondition::absent("j/wk-000412")];
    store.transaction(&conditions, vec![], RequestClass::User, LIMIT)
}

fn batch() -> WriteBatch {
    let job_id = job_id();
    WriteBatch {
        conditions: vec![KeyCondition::at_revision("ctl/leader", 50)],
        ops: vec![
            WriteOp::Put(keys::chunk_key(&job_id, 0), RecordValue::Chunk(chunk())),
            WriteOp::Put(
                keys::outcome_key(&job_id),
                RecordValue::JobOutcome(JobOutcome::Done),
            ),
            WriteOp::Delete(keys::live_job_key(&job_id)),
        ],
    }
}

const STORE_CALLS: &[Call<KvStore>] = &[
    ("get", &[200], |s| {
        let entry = s
            .get::<u64>("ctl/term", RequestClass::Leader, LIMIT)
            .expect("read");
        assert_eq!(entry.map(|e| (e.value, e.revision)), Some((4, 51)));
    }),
    ("get of what is absent", &[404], |s| {
        let entry = s
            .get::<u64>("ctl/term", RequestClass::Leader, LIMIT)
            .expect("read");
        assert!(entry.is_none());
    }),
    ("list", &[200, 200], |s| {
        let listing = s
            .list::<u64>("q/w/", RequestClass::Leader, LIMIT)
            .expect("read");
        let entries = listing.entries.into_iter();
        let entries = entries.map(|e| (e.key, e.value, e.revision));
        let expected = [
            ("q/w/wk-000411".into(), 1, 52),
            ("q/w/wk-000412".into(), 1, 53),
        ];
        assert_eq!(
            (entries.collect::<Vec<_>>(), listing.revision),
            (expected.into(), 60)
        );
    }),
    ("transaction", &[200], |s| {
        assert_eq!(
            transaction(s),
            Ok(TransactionOutcome::Applied { revision: 61 })
        );
    }),
    ("transaction that fails", &[409], |s| {
        let keys = vec!["j/wk-000412".to_owned()];
        assert_eq!(conditions_alone(s), Ok(TransactionOutcome::Failed { keys }));
    }),
    ("transaction on an ended lease", &[400], |s| {
        assert_eq!(conditions_alone(s), Err(StoreError::LeaseNotFound));
    }),
    ("batch", &[200], |s| {
        assert_eq!(
            s.commit(&batch(), LIMIT),
            Ok(TransactionOutcome::Applied { revision: 61 })
        );
    }),
    ("lease", &[200], |s| {
        assert_eq!(s.grant_lease(secs(4.0), LIMIT), Ok(9));
    }),
    ("extension", &[200], |s| {
        assert_eq!(s.renew_lease(9, LIMIT), Ok(()));
    }),
    ("end of a lease", &[200], |s| {
        assert_eq!(s.revoke_lease(9, LIMIT), Ok(()));
    }),
    ("watch", &[200], |s| {
        let changes = s.watch::<u64>("q/", 60, secs(5.0)).expect("read");
        let log = changes
            .events
            .into_iter()
            .map(|c| (c.put, c.delete, c.value, c.revision));
        let key = || Some("q/w/wk-000412".to_owned());
        let expected = vec![(key(), None, Some(1), Some(61)), (None, key(), None, None)];
        assert_eq!((log.collect::<Vec<_>>(), changes.revision), (expected, 62));
    }),
    ("verdict", &[200, 200], |s| {
        let outcome = s.job_outcome(&job_id(), Acceptance::Unknown, LIMIT);
        let cancelled = Entry {
            value: JobOutcome::Cancelled,
            revision: 63,
        };
        assert_eq!(outcome, Ok(Some(cancelled)));
    }),
    ("verdicts", &[200], |s| {
        let stop = StopSignal::new();
        let page = BudgetedReader::new(s, &stop, ReadPurpose::StatusQuery, Instant::now() + LIMIT)
            .outcomes_after("j/wk-0");
        let expected = OutcomePage {
            entries: vec![OutcomeEntry {
                key: "j/wk-000412".to_owned(),
                outcome: JobOutcome::Done,
            }],
            has_next: true,
        };
        assert_eq!(page, Ok(expected));
    }),
];

const CLOUD_CALLS: &[Call<CloudClient>] = &[
    ("types", &[200], |c| {
        let types = c.machine_types().expect("read").machine_types;
        assert_eq!(
            MachineType::try_from(&types[0]),
            Ok(machine_type(8.0, 50.0, 0.5))
        );
    }),
    ("rental", &[200], |c| {
        let machines = vec!["i-000231".into(), "i-000232".into()];
        assert_eq!(c.rent(&rental()), RentalOutcome::Machines(machines));
    }),
    ("rental refused", &[503], |c| {
        assert_eq!(c.rent(&rental()), RentalOutcome::NoCapacity);
    }),
    ("return", &[200], |c| {
        assert!(c.return_machines(&["i-000231".into(), "i-000232".into()]));
    }),
    ("machines", &[200], |c| {
        let listed = |id: &str, endpoint: &str, phase| CloudMachine {
            id: id.into(),
            endpoint: endpoint.into(),
            machine_type: "g8".into(),
            zone: "hall-a".into(),
            spot: true,
            phase,
            age: secs(12.5),
        };
        let machines = vec![
            listed("i-000231", "", CloudMachinePhase::Booting),
            listed("i-000232", "10.1.0.232:9000", CloudMachinePhase::Running),
            listed("i-000233", "", CloudMachinePhase::Failed),
        ];
        let page = MachinePage {
            machines,
            has_next: true,
        };
        assert_eq!(c.list_machines("i-000230"), Some(page));
    }),
    ("first machines", &[200], |c| {
        let page = MachinePage {
            machines: vec![],
            has_next: false,
        };
        assert_eq!(c.list_machines(""), Some(page));
    }),
];

fn rental() -> RentRequest {
    RentRequest {
        idempotency_key: "t4-1".into(),
        machine_type: "g8".into(),
        zone: "hall-a".into(),
        spot: true,
        count: 2,
    }
}

#[test]
fn requests_to_the_state_service_the_cloud_and_workers() {
    let mut golden = Golden::of(include_str!("requests.txt"));
    check_calls(&mut golden, STORE_CALLS, store);
    check_calls(&mut golden, CLOUD_CALLS, CloudClient::new);
    let (address, requests) = service(vec![(409, vec![1, 2])]);
    let answer = agent::send_commands(&agent::connection_pool(1), &address.to_string(), &[7, 8]);
    assert_eq!(answer, Some(vec![1, 2]));
    golden.written("commands", &requests.join().expect("a request")[0]);
    golden.finish();
}
