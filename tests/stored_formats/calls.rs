//! Requests to the store, the cloud and workers, and how their responses are decoded.

use crate::golden::GoldenFile;
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

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that sends these responses, given as status and body, in order. The thread returns the
/// requests, each as the bytes of its method, path and query on one line, followed by the body.
fn start_server(responses: Vec<(u16, Vec<u8>)>) -> (SocketAddr, JoinHandle<Vec<Vec<u8>>>) {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a port");
    let address = server.server_addr().to_ip().expect("an address");
    let requests = spawn(move || {
        let mut requests = Vec::new();
        for (status, response_body) in responses {
            let request = server
                .recv_timeout(TIMEOUT)
                .expect("a server that receives");
            let mut request = request.expect("a request in time");
            let line = format!("{} {}\n", request.method(), request.url());
            let mut bytes = line.into_bytes();
            let body = request.as_reader().read_to_end(&mut bytes);
            body.expect("a complete body");
            requests.push(bytes);
            let response = tiny_http::Response::from_data(response_body).with_status_code(status);
            request.respond(response).expect("a sent response");
        }
        requests
    });
    (address, requests)
}

/// A call of a client: its name in the golden file, the HTTP statuses of the responses, whose bodies are rows
/// of the file, and the function that makes the call and checks its result.
type Call<C> = (&'static str, &'static [u16], fn(&C));

/// Makes each call against a server of its own, and checks the requests against the golden file.
fn check_requests<C>(golden: &mut GoldenFile, calls: &[Call<C>], client: fn(HttpClient) -> C) {
    for (name, statuses, call) in calls {
        let response =
            |(n, status): (usize, &u16)| (*status, golden.bytes(&format!("{name}: answer {n}")));
        let responses = statuses.iter().enumerate().map(response).collect();
        let (address, requests) = start_server(responses);
        let meter = Arc::new(LatencyMeter::new());
        let config = HttpClientConfig {
            address,
            connect_timeout: TIMEOUT,
            idle_connections: 1,
        };
        call(&client(HttpClient::new(config, meter)));
        for (n, request) in requests.join().expect("the requests").iter().enumerate() {
            golden.check_encoding(&format!("{name}: request {n}"), request);
        }
    }
}

/// A client of the store whose budget does not limit the calls here.
fn store_client(client: HttpClient) -> KvStore {
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

/// A transaction with both kinds of conditions and all kinds of changes.
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
    store.transaction(&conditions, changes, RequestClass::User, TIMEOUT)
}

/// A transaction that only checks a condition.
fn transaction_without_changes(store: &KvStore) -> Result<TransactionOutcome, StoreError> {
    let conditions = [KeyCondition::absent("j/wk-000412")];
    store.transaction(&conditions, vec![], RequestClass::User, TIMEOUT)
}

/// A batch of the leader with each kind of operation.
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
    ("get", &[200], |store| {
        let entry = store
            .get::<u64>("ctl/term", RequestClass::Leader, TIMEOUT)
            .expect("a valid response");
        assert_eq!(entry.map(|e| (e.value, e.revision)), Some((4, 51)));
    }),
    ("get of what is absent", &[404], |store| {
        let entry = store
            .get::<u64>("ctl/term", RequestClass::Leader, TIMEOUT)
            .expect("a valid response");
        assert!(entry.is_none());
    }),
    ("list", &[200, 200], |store| {
        let listing = store
            .list::<u64>("q/w/", RequestClass::Leader, TIMEOUT)
            .expect("a valid response");
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
    ("transaction", &[200], |store| {
        assert_eq!(
            transaction(store),
            Ok(TransactionOutcome::Applied { revision: 61 })
        );
    }),
    ("transaction that fails", &[409], |store| {
        let keys = vec!["j/wk-000412".to_owned()];
        assert_eq!(
            transaction_without_changes(store),
            Ok(TransactionOutcome::Failed { keys })
        );
    }),
    ("transaction on an ended lease", &[400], |store| {
        assert_eq!(
            transaction_without_changes(store),
            Err(StoreError::LeaseNotFound)
        );
    }),
    ("batch", &[200], |store| {
        assert_eq!(
            store.commit(&batch(), TIMEOUT),
            Ok(TransactionOutcome::Applied { revision: 61 })
        );
    }),
    ("lease", &[200], |store| {
        assert_eq!(store.grant_lease(secs(4.0), TIMEOUT), Ok(9));
    }),
    ("extension", &[200], |store| {
        assert_eq!(store.renew_lease(9, TIMEOUT), Ok(()));
    }),
    ("end of a lease", &[200], |store| {
        assert_eq!(store.revoke_lease(9, TIMEOUT), Ok(()));
    }),
    ("watch", &[200], |store| {
        let response = store
            .watch::<u64>("q/", 60, secs(5.0))
            .expect("a valid response");
        let events = response
            .events
            .into_iter()
            .map(|e| (e.put, e.delete, e.value, e.revision));
        let key = || Some("q/w/wk-000412".to_owned());
        let expected = vec![(key(), None, Some(1), Some(61)), (None, key(), None, None)];
        assert_eq!(
            (events.collect::<Vec<_>>(), response.revision),
            (expected, 62)
        );
    }),
    ("verdict", &[200, 200], |store| {
        let outcome = store.job_outcome(&job_id(), Acceptance::Unknown, TIMEOUT);
        let cancelled = Entry {
            value: JobOutcome::Cancelled,
            revision: 63,
        };
        assert_eq!(outcome, Ok(Some(cancelled)));
    }),
    ("verdicts", &[200], |store| {
        let stop = StopSignal::new();
        let page = BudgetedReader::new(
            store,
            &stop,
            ReadPurpose::StatusQuery,
            Instant::now() + TIMEOUT,
        )
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
    ("types", &[200], |cloud| {
        let types = cloud
            .machine_types()
            .expect("a valid response")
            .machine_types;
        assert_eq!(
            MachineType::try_from(&types[0]),
            Ok(machine_type(8.0, 50.0, 0.5))
        );
    }),
    ("rental", &[200], |cloud| {
        let machines = vec!["i-000231".into(), "i-000232".into()];
        assert_eq!(cloud.rent(&rental()), RentalOutcome::Machines(machines));
    }),
    ("rental refused", &[503], |cloud| {
        assert_eq!(cloud.rent(&rental()), RentalOutcome::NoCapacity);
    }),
    ("return", &[200], |cloud| {
        assert!(cloud.return_machines(&["i-000231".into(), "i-000232".into()]));
    }),
    ("machines", &[200], |cloud| {
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
        assert_eq!(cloud.list_machines("i-000230"), Some(page));
    }),
    ("first machines", &[200], |cloud| {
        let page = MachinePage {
            machines: vec![],
            has_next: false,
        };
        assert_eq!(cloud.list_machines(""), Some(page));
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

/// Guards against requests that change with a type of the program, so that the store, the cloud or workers no
/// longer understand them, and against responses that are no longer decoded.
#[test]
fn requests_to_store_cloud_and_workers() {
    let mut golden = GoldenFile::parse(include_str!("requests.txt"));
    check_requests(&mut golden, STORE_CALLS, store_client);
    check_requests(&mut golden, CLOUD_CALLS, CloudClient::new);
    let (address, requests) = start_server(vec![(409, vec![1, 2])]);
    let response = agent::send_commands(&agent::connection_pool(1), &address.to_string(), &[7, 8]);
    assert_eq!(response, Some(vec![1, 2]));
    golden.check_encoding("commands", &requests.join().expect("a request")[0]);
    golden.check_all_used();
}
