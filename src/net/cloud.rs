//! The cloud's protocol.

use crate::core::capacity::RentalOutcome;
use crate::core::model::{CloudMachine, MachineId};
use crate::net::http_client::Client;
use crate::net::wire::{MachineList, MachineNames, RentRequest, WireMachineTypes};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(8);
const NONE: Option<&()> = None;

/// A client of the cloud's interface.
#[derive(Clone)]
pub struct Cloud {
    client: Client,
}

impl Cloud {
    /// A cloud that is called through this client.
    pub fn new(client: Client) -> Cloud {
        Cloud { client }
    }

    /// The machine types on offer. None: no answer that can be read.
    pub fn types(&self) -> Option<WireMachineTypes> {
        let a = self
            .client
            .call("GET", "/machine_types", NONE, LIMIT)
            .ok()?;
        (a.status == 200).then(|| a.decode()).flatten()
    }

    /// Rents machines under a claim, which makes repetitions harmless.
    pub fn rent(&self, request: &RentRequest) -> RentalOutcome {
        #[derive(serde::Deserialize)]
        struct Refusal {
            error: Option<String>,
        }
        match self.client.call("POST", "/hosts", Some(request), LIMIT) {
            Ok(a) if a.status == 200 => match a.decode::<MachineNames>() {
                Some(n) => RentalOutcome::Machines(n.machines.into_iter().map(MachineId).collect()),
                None => RentalOutcome::Unknown,
            },
            Ok(a) if a.status == 503 => match a.decode::<Refusal>().and_then(|r| r.error) {
                Some(e) if e == "no capacity" => RentalOutcome::NoCapacity,
                _ => RentalOutcome::Unknown,
            },
            Ok(a) if a.status == 400 => {
                log::warn!(
                    "the cloud calls a rental malformed claim={}",
                    request.idempotency_key
                );
                RentalOutcome::NoCapacity
            }
            _ => RentalOutcome::Unknown,
        }
    }

    /// True: by now the machines and all that was on them are gone.
    pub fn give_back(&self, machines: &[MachineId]) -> bool {
        let body = MachineNames {
            machines: machines.iter().map(|h| h.0.clone()).collect(),
        };
        match self
            .client
            .call("POST", "/hosts/return", Some(&body), LIMIT)
        {
            Ok(a) => a.status == 200,
            Err(_) => false,
        }
    }

    /// One page of the list, from after `from`; the flag tells whether there is more.
    pub fn list(&self, from: &str) -> Option<(Vec<CloudMachine>, bool)> {
        let path = if from.is_empty() {
            "/hosts?Most=500".to_owned()
        } else {
            format!("/hosts?From={from}&Most=500")
        };
        let a = self.client.call("GET", &path, NONE, LIMIT).ok()?;
        if a.status != 200 {
            return None;
        }
        let l: MachineList = a.decode()?;
        let more = l.has_next;
        let listed = l
            .machines
            .into_iter()
            .filter_map(|machine| machine.try_into().ok());
        Some((listed.collect(), more))
    }
}
