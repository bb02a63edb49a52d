//! Frames between the controllers, and bodies of requests and responses of users, workers and the cloud.

use crate::golden::{read, GoldenFile};
use crate::values::*;
use cypressgap::api::responses::ApiResponse;
use cypressgap::core::model::*;
use cypressgap::net::agent;
use cypressgap::net::peer::{read_frame, write_frame, HelloExtension, PeerRequest, PeerResponse};
use cypressgap::net::wire::*;

/// Guards against frames that change with a type of the program, so that controllers of different versions no
/// longer understand each other.
#[test]
fn frames_between_controllers() {
    let mut golden = GoldenFile::parse(include_str!("frames.txt"));
    fn frame<T: borsh::BorshSerialize>(message: &T) -> Vec<u8> {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, message).expect("a written frame");
        bytes
    }
    let request = PeerRequest::Hello(hello());
    golden.check_round_trip("hello of a follower", request, frame, |mut bytes| {
        read_frame(&mut bytes).expect("a valid frame")
    });
    let responses = [
        (
            "hello with all that may be said",
            PeerResponse::Hello(hello()),
        ),
        (
            "user to come back at any time",
            PeerResponse::UserRequest {
                status: 200,
                body: vec![9],
                retry_after: None,
            },
        ),
        ("cancellations not taken on", PeerResponse::Cancelled(false)),
        (
            "cancellations anew",
            PeerResponse::Cancellations {
                incarnation: 77,
                continues: false,
                job_ids: vec![],
                next: 0,
                more: true,
            },
        ),
    ];
    for (name, response) in responses {
        golden.check_round_trip(name, response, frame, |mut bytes| {
            read_frame(&mut bytes).expect("a valid frame")
        });
    }
    let extension = HelloExtension::decode(&["frames 2".into(), "next rates".into()]);
    assert!(extension.store_rates_reduced);
    golden.check_all_used();
}

/// Guards against bodies whose names or values change with a type of the program, so that users, workers or
/// the cloud no longer understand them.
#[test]
fn bodies_of_users_workers_and_the_cloud() {
    let mut golden = GoldenFile::parse(include_str!("bodies.txt"));
    // The controllers only decode these bodies.
    let accepted_unix_ms = job().accepted_unix_ms;
    let submissions = [
        ("submission", job()),
        ("submission of a service", plain_job(Priority::High)),
        ("submission standard", plain_job(Priority::Standard)),
        ("submission idle", plain_job(Priority::Idle)),
    ];
    for (name, spec) in submissions {
        let submission: Submission = read(&golden.bytes(name));
        assert_eq!(submission.to_spec(accepted_unix_ms), Ok(spec), "{name}");
    }
    let malformed = golden.bytes("submission malformed");
    assert!(decode::<Submission>(&malformed).is_none());
    assert_eq!(read::<SubmissionId>(&malformed).job_id, Some(job_id().0));
    let decoded_heartbeat = agent::decode_heartbeat(&golden.bytes("report"));
    assert_eq!(decoded_heartbeat, Some(heartbeat()));
    let without_optional_fields: WireMachineTypes = read(&golden.bytes("types in short"));
    let expected = Some(machine_type(0.0, 0.0, 0.0));
    assert_eq!(
        MachineType::try_from(&without_optional_fields.machine_types[0]).ok(),
        expected
    );
    // The controllers only encode these bodies.
    let job_status = |done, running| {
        encode(&JobStatusResponse {
            job_id: job_id().0,
            phase: "running",
            done,
            running,
        })
    };
    let wire_commands = || commands().iter().map(WireCommand::from).collect();
    let redirect = |controller| encode(&HeartbeatRedirect { controller });
    let encoded = [
        ("state", job_status(Some(5), Some(16))),
        ("state without counts", job_status(None, None)),
        ("problem", ApiResponse::problem(404, "no such job").body),
        (
            "heartbeat answer",
            encode(&HeartbeatResponse {
                token: token().0,
                commands: wire_commands(),
            }),
        ),
        ("commands", agent::encode_commands(token(), 2, &commands())),
        ("elsewhere", redirect(Some("10.1.0.1:8080".into()))),
        ("elsewhere unknown", redirect(None)),
    ];
    for (name, bytes) in encoded {
        golden.check_encoding(name, &bytes);
    }
    golden.check_all_used();
}
