//! Client of the cloud's API: machine types, rentals, returns and the list of rented machines.
//!
//! Invariant: a rental whose outcome is not known for certain is reported as [`RentalOutcome::Unknown`]. The
//! caller repeats it with the same idempotency key, so that no machines are rented twice.

use crate::core::capacity::RentalOutcome;
use crate::core::model::{CloudMachine, MachineId};
use crate::net::http_client::{HttpClient, HttpResponse};
use crate::net::wire::{ErrorResponse, MachineIds, MachineList, RentRequest, WireMachineTypes};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// The maximum number of machines on one page of the list.
const PAGE_SIZE: usize = 500;
/// The error text of the cloud when it has no machines of the requested kind.
const NO_CAPACITY_ERROR: &str = "no capacity";

/// A client of the cloud's API. It does not limit its rate; callers do.
#[derive(Clone)]
pub struct CloudClient {
    http: HttpClient,
}

/// One page of the list of rented machines.
#[derive(Debug, PartialEq)]
pub struct MachinePage {
    /// The machines in the order of their ids. Entries with an invalid field are left out.
    pub machines: Vec<CloudMachine>,
    /// Whether another page follows.
    pub has_next: bool,
}

impl CloudClient {
    /// Creates a client that sends its requests through `http`.
    pub fn new(http: HttpClient) -> CloudClient {
        CloudClient { http }
    }

    /// Reads the machine types that the cloud offers. None: the call failed or the response is malformed.
    pub fn machine_types(&self) -> Option<WireMachineTypes> {
        self.get("/machine_types")?.decode()
    }

    /// Rents machines. A repeated request rents no further machines, because it has the same idempotency key.
    /// A request that the cloud rejects as malformed counts as [`RentalOutcome::NoCapacity`].
    pub fn rent(&self, request: &RentRequest) -> RentalOutcome {
        let Ok(response) = self
            .http
            .call("POST", "/hosts", Some(request), CALL_TIMEOUT)
        else {
            return RentalOutcome::Unknown;
        };
        match response.status {
            200 => rented_machines(&response),
            503 if is_out_of_capacity(&response) => RentalOutcome::NoCapacity,
            400 => {
                log::warn!(
                    "cloud rejected a rental as malformed idempotency_key={}",
                    request.idempotency_key
                );
                RentalOutcome::NoCapacity
            }
            _ => RentalOutcome::Unknown,
        }
    }

    /// Returns machines to the cloud. True: the cloud confirmed that the machines, and all tasks on them, are
    /// gone. False: the machines may or may not have been returned.
    pub fn return_machines(&self, machines: &[MachineId]) -> bool {
        let request = MachineIds {
            machines: machines.iter().map(|machine| machine.0.clone()).collect(),
        };
        let response = self
            .http
            .call("POST", "/hosts/return", Some(&request), CALL_TIMEOUT);
        response.is_ok_and(|r| r.status == 200)
    }

    /// Reads the page of rented machines whose ids come after `after`; an empty `after` stands for the first
    /// page. None: the call failed or the response is malformed.
    pub fn list_machines(&self, after: &str) -> Option<MachinePage> {
        let path = if after.is_empty() {
            format!("/hosts?Most={PAGE_SIZE}")
        } else {
            format!("/hosts?From={after}&Most={PAGE_SIZE}")
        };
        let list: MachineList = self.get(&path)?.decode()?;
        let machines = list.machines.into_iter();
        Some(MachinePage {
            machines: machines.filter_map(|m| m.try_into().ok()).collect(),
            has_next: list.has_next,
        })
    }

    /// None: there was no response, or its status is not 200.
    fn get(&self, path: &str) -> Option<HttpResponse> {
        let response = self.http.call::<()>("GET", path, None, CALL_TIMEOUT).ok()?;
        (response.status == 200).then_some(response)
    }
}

fn rented_machines(response: &HttpResponse) -> RentalOutcome {
    match response.decode::<MachineIds>() {
        Some(names) => RentalOutcome::Machines(names.machines.into_iter().map(MachineId).collect()),
        None => RentalOutcome::Unknown,
    }
}

fn is_out_of_capacity(response: &HttpResponse) -> bool {
    let refusal: Option<ErrorResponse> = response.decode();
    refusal.is_some_and(|r| r.error == NO_CAPACITY_ERROR)
}
