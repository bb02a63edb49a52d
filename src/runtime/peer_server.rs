//! The server for requests of the other controllers.
//!
//! Each connection is served by its own thread. Connections beyond the maximum are closed at once. A user's
//! request that a peer has forwarded is not forwarded a second time.

use crate::api::context::ApiContext;
use crate::api::{status_queries, user_requests};
use crate::core::model::JobId;
use crate::net::agent;
use crate::net::peer::{self, PeerRequest, PeerResponse};
use crate::runtime::cancellation_exchange::NotificationOutcome;
use crate::runtime::context::NodeContext;
use crate::runtime::peer_status_exchange;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A connection is closed after it has received no request for this long. A peer that is up sends a hello
/// every second.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of sending a response to a peer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Stack size of a connection's thread, in bytes. These threads need less than the default.
const PEER_THREAD_STACK_BYTES: usize = 256 * 1024;

/// Accepts connections from other controllers until the service stops.
pub(super) fn run(context: &Arc<NodeContext>, api: &Arc<ApiContext>, listener: &TcpListener) {
    let max_connections = context.settings.socket_budget().peers;
    let open_connections = Arc::new(AtomicUsize::new(0));
    while !context.stop.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                if open_connections.fetch_add(1, Ordering::Relaxed) >= max_connections {
                    open_connections.fetch_sub(1, Ordering::Relaxed);
                    continue;
                }
                start_connection(context, api, stream, &open_connections);
            }
            Err(e) => {
                log::warn!("peer connection not accepted error=\"{e}\"");
                context.stop.wait(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

/// Starts the thread that serves a connection. The connection is already counted in `open_connections`, and
/// the count is decreased when the thread ends or cannot be started.
fn start_connection(
    context: &Arc<NodeContext>,
    api: &Arc<ApiContext>,
    stream: TcpStream,
    open_connections: &Arc<AtomicUsize>,
) {
    let (context, api, count) = (context.clone(), api.clone(), open_connections.clone());
    let spawned = std::thread::Builder::new()
        .name("peer".into())
        .stack_size(PEER_THREAD_STACK_BYTES)
        .spawn(move || {
            serve_connection(&context, &api, stream);
            count.fetch_sub(1, Ordering::Relaxed);
        });
    if spawned.is_err() {
        open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

fn serve_connection(context: &NodeContext, api: &ApiContext, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    while !context.stop.is_stopped() {
        let Ok(request) = peer::read_frame::<PeerRequest>(&mut stream) else {
            return;
        };
        let response = handle_request(context, api, request);
        if peer::write_frame(&mut stream, &response).is_err() {
            return;
        }
    }
}

fn handle_request(context: &NodeContext, api: &ApiContext, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Hello(hello) => {
            PeerResponse::Hello(peer_status_exchange::answer_hello(context, hello))
        }
        PeerRequest::Heartbeats(bodies) => {
            let responses = context.decide_relayed(&bodies).into_iter();
            PeerResponse::Heartbeats(responses.map(|r| (r.status, r.body)).collect())
        }
        PeerRequest::Command { endpoint, body } => PeerResponse::Command(agent::send_commands(
            &context.agent_client,
            &endpoint,
            &body,
        )),
        PeerRequest::JobStatuses(ids) => {
            PeerResponse::JobStatuses(status_queries::answer_peer(api, &ids))
        }
        PeerRequest::Cancellations { from } => {
            let page = context.view.cancellations(from);
            PeerResponse::Cancellations {
                incarnation: page.incarnation,
                continues: page.continues,
                job_ids: page.job_ids.into_iter().map(|job_id| job_id.0).collect(),
                next: page.next,
                more: page.more,
            }
        }
        PeerRequest::Cancelled(ids) => {
            let job_ids = ids.iter().filter_map(|id| JobId::parse(id)).collect();
            let outcome = context.accept_cancellations(job_ids);
            PeerResponse::Cancelled(outcome == NotificationOutcome::Accepted)
        }
        PeerRequest::UserRequest { method, path, body } => {
            let response = user_requests::handle_for_peer(api, &method, &path, &body);
            PeerResponse::UserRequest {
                status: response.status,
                body: response.body,
                retry_after: response.retry_after,
            }
        }
    }
}
