//! Client of the cloud's interface: machine types, rentals, returns and the list of rented machines.
//!
//! Invariant: a rental without a clear answer is reported as [`RentalOutcome::Unknown`]; it is repeated
//! under its idempotency key, so that machines are not rented twice.

use crate::core::capacity::RentalOutcome;
use crate::core::model::{CloudMachine, MachineId};
use crate::net::http_client::{HttpClient, HttpResponse};
use crate::net::wire::{ErrorResponse, MachineIds, MachineList, RentRequest, WireMachineTypes};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Machines on a page of the list.
const PAGE_SIZE: usize = 500;
/// The cloud's error where it has no such machines to rent.
const NO_CAPACITY_ERROR: &str = "no capacity";

/// A client of the cloud's interface.
#[derive(Clone)]
pub struct CloudClient {
    http: HttpClient,
}

/// A page of the list of rented machines.
#[derive(Debug, PartialEq)]
pub struct MachinePage {
    /// The machines, in the order of their ids. Those that make no sense are left out.
    pub machines: Vec<CloudMachine>,
    /// Whether more pages follow.
    pub has_next: bool,
}

impl CloudClient {
    /// A cloud that is called through this client.
    pub fn new(http: HttpClient) -> CloudClient {
        CloudClient { http }
    }

    /// The machine types on offer. None: no answer that can be read.
    pub fn machine_types(&self) -> Option<WireMachineTypes> {
        self.get("/machine_types")?.decode()
    }

    /// Rents machines. The request's idempotency key makes repetitions harmless.
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

    /// Returns machines to the cloud. True: by now they are gone with all that was on them.
    pub fn return_machines(&self, machines: &[MachineId]) -> bool {
        let request = MachineIds {
            machines: machines.iter().map(|machine| machine.0.clone()).collect(),
        };
        let response = self
            .http
            .call("POST", "/hosts/return", Some(&request), CALL_TIMEOUT);
        response.is_ok_and(|r| r.status == 200)
    }

    /// The page of rented machines after this id, or the first page after an empty one. None: no answer
    /// that can be read.
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

    /// None: no answer, or another status than 200.
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
