//! Leases of the key-value store. Only the leader and candidates hold leases. A key that is written with a
//! lease is removed when the lease ends.

use super::{KvStore, StoreError};
use crate::common::rate_limit::RequestClass;
use crate::net::wire::{LeaseRequest, LeaseResponse};
use std::time::Duration;

impl KvStore {
    /// Requests a lease that expires after `duration` unless it is renewed. Returns the lease's id. `timeout`
    /// is the time limit of the call.
    pub fn grant_lease(&self, duration: Duration, timeout: Duration) -> Result<u64, StoreError> {
        self.take_budget(RequestClass::Leader, 0)?;
        let request = LeaseRequest {
            duration_ms: duration.as_millis() as u64,
        };
        let response = self.call("POST", "/leases", Some(&request), timeout)?;
        match response.status {
            200 | 201 => {
                let granted: LeaseResponse = response.decode().ok_or(StoreError::Unknown)?;
                Ok(granted.lease)
            }
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Renews a lease for the whole duration with which it was granted.
    pub fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        self.take_budget(RequestClass::Leader, 0)?;
        let path = format!("/leases/{lease}/extend");
        let response = self.call_without_body("POST", &path, timeout)?;
        match response.status {
            200 => Ok(()),
            404 => Err(StoreError::LeaseNotFound),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Ends a lease, which removes the keys that were written with it. The status of the store's response is
    /// ignored.
    pub fn revoke_lease(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        self.take_budget(RequestClass::Leader, 0)?;
        self.call_without_body("DELETE", &format!("/leases/{lease}"), timeout)
            .map(drop)
    }
}
