//! Frames between the controllers, and bodies of users, workers and the cloud.

use crate::golden::{read, Golden};
use crate::values::*;
use cypressgap::api::responses::ApiResponse;
use cypressgap::core::model::*;
use cypressgap::net::agent;
use cypressgap::net::peer::{read_frame, write_frame, HelloExtension, PeerRequest, PeerResponse};
use cypressgap::net::wire::*;

#[test]
fn frames_between_controllers() {
    let mut golden = Golden::of(include_str!("frames.txt"));
    fn frame<T: borsh::BorshSerialize>(message: &T) -> Vec<u8> {
        let mut out = Vec::new();
        write_frame(&mut out, message).expect("written");
        out
    }
    let ask = PeerRequest::Hello(hello());
    golden.both("hello of a follower", ask, frame, |mut b| {
        read_frame(&mut b).expect("read")
    });
    let replies = [
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
    for (name, reply) in replies {
        golden.both(name, reply, frame, |mut b| {
            read_frame(&mut b).expect("read")
        });
    }
    let extension = HelloExtension::decode(&["frames 2".into(), "next rates".into()]);
    assert!(extension.store_rates_reduced);
    golden.finish();
}

#[test]
fn bodies_of_users_workers_and_the_cloud() {
    let mut golden = Golden::of(include_str!("bodies.txt"));
    // What is only read.
    let accepted = job().accepted_unix_ms;
    let submissions = [
        ("submission", job()),
        ("submission of a service", plain_job(Priority::High)),
        ("submission standard", plain_job(Priority::Standard)),
        ("submission idle", plain_job(Priority::Idle)),
    ];
    for (name, spec) in submissions {
        let submission: Submission = read(&golden.sample(name));
        assert_eq!(submission.to_spec(accepted), Ok(spec), "{name}");
    }
    let malformed = golden.sample("submission malformed");
    assert!(decode::<Submission>(&malformed).is_none());
    assert_eq!(read::<SubmissionId>(&malformed).job_id, Some(job_id().0));
    let read_heartbeat = agent::decode_heartbeat(&golden.sample("report"));
    assert_eq!(read_heartbeat, Some(heartbeat()));
    let short: WireMachineTypes = read(&golden.sample("types in short"));
    let expected = Some(machine_type(0.0, 0.0, 0.0));
    assert_eq!(
        MachineType::try_from(&short.machine_types[0]).ok(),
        expected
    );
    // What is only written.
    let state = |done, running| {
        encode(&JobStatusResponse {
            job_id: job_id().0,
            phase: "running",
            done,
            running,
        })
    };
    let wire_commands = || commands().iter().map(WireCommand::from).collect();
    let elsewhere = |controller| encode(&HeartbeatRedirect { controller });
    let written = [
        ("state", state(Some(5), Some(16))),
        ("state without counts", state(None, None)),
        ("problem", ApiResponse::problem(404, "no such job").body),
        (
            "heartbeat answer",
            encode(&HeartbeatResponse {
                token: token().0,
                commands: wire_commands(),
            }),
        ),
        ("commands", agent::encode_commands(token(), 2, &commands())),
        ("elsewhere", elsewhere(Some("10.1.0.1:8080".into()))),
        ("elsewhere unknown", elsewhere(None)),
    ];
    for (name, bytes) in written {
        golden.written(name, &bytes);
    }
    golden.finish();
}
