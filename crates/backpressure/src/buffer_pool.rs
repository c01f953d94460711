//! Accounting of the buffer bytes held and reserved for connections in one direction, and the limits on them.

use crate::limits::Limits;
use crate::state::ConnectionState;

/// Buffer bytes of one direction, by connection state and by tenant.
#[derive(Clone, Debug, Default)]
pub struct BufferPool {
    /// Bytes held, by connection state.
    held_by_state: [usize; 4],
    /// Bytes reserved for admitted requests, by connection state.
    reserved_by_state: [usize; 4],
    /// Bytes held or reserved for the connections of each tenant that are not proven.
    tenant_bytes: Vec<usize>,
    peak: usize,
}

/// Bytes of one connection in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BufferShare {
    /// Bytes held now.
    pub held: usize,
    /// Bytes reserved for messages that are expected.
    pub reserved: usize,
}

impl BufferPool {
    /// Creates an empty pool for this many tenants.
    pub fn new(tenants: usize) -> BufferPool {
        BufferPool {
            tenant_bytes: vec![0; tenants.max(1)],
            ..BufferPool::default()
        }
    }

    /// Whether `bytes` more may be held for a connection; with `with_reservations`, reserved bytes count as held in the
    /// limits by connection state.
    pub fn can_hold(
        &self,
        limits: &Limits,
        state: ConnectionState,
        tenant: usize,
        share: &BufferShare,
        bytes: usize,
        with_reservations: bool,
    ) -> bool {
        let total_of = |states: &[ConnectionState]| -> usize {
            let bytes_in_state = |counted: &ConnectionState| {
                self.held_by_state[*counted as usize]
                    + if with_reservations {
                        self.reserved_by_state[*counted as usize]
                    } else {
                        0
                    }
            };
            states.iter().map(bytes_in_state).sum()
        };
        let fits_total = self.held() + bytes <= limits.total;
        if !limits.enabled || !fits_total {
            return fits_total;
        }
        let fits_connection = share.held + bytes <= limits.per_connection;
        // A single tenant's connections are bounded by the limits on all connections.
        let fits_tenant = self.tenant_bytes.len() == 1
            || state == ConnectionState::Proven
            || self.tenant_bytes[tenant] - share.reserved.min(self.tenant_bytes[tenant]) + bytes
                <= limits.per_tenant;
        let fits_state = match state {
            ConnectionState::Proven => true,
            ConnectionState::Unproven => {
                total_of(&[
                    ConnectionState::Unproven,
                    ConnectionState::Slow,
                    ConnectionState::Stalled,
                ]) + bytes
                    <= limits.unproven_total
            }
            ConnectionState::Slow | ConnectionState::Stalled => {
                total_of(&[ConnectionState::Slow, ConnectionState::Stalled]) + bytes
                    <= limits.slow_total
            }
        };
        fits_connection && fits_tenant && fits_state
    }

    /// Holds `bytes`, which are taken from the connection's reservation first.
    pub fn hold(
        &mut self,
        state: ConnectionState,
        tenant: usize,
        share: &mut BufferShare,
        bytes: usize,
    ) {
        let from_reservation = share.reserved.min(bytes);
        self.cancel_reservation(state, tenant, share, from_reservation);
        share.held += bytes;
        self.held_by_state[state as usize] += bytes;
        self.charge_tenant(state, tenant, bytes as isize);
        self.peak = self.peak.max(self.held());
    }

    /// Releases `bytes`, at most what the connection holds.
    pub fn release(
        &mut self,
        state: ConnectionState,
        tenant: usize,
        share: &mut BufferShare,
        bytes: usize,
    ) {
        let bytes = bytes.min(share.held);
        share.held -= bytes;
        self.held_by_state[state as usize] -= bytes;
        self.charge_tenant(state, tenant, -(bytes as isize));
    }

    /// Reserves `bytes` without checking the limits.
    pub fn reserve(
        &mut self,
        state: ConnectionState,
        tenant: usize,
        share: &mut BufferShare,
        bytes: usize,
    ) {
        share.reserved += bytes;
        self.reserved_by_state[state as usize] += bytes;
        self.charge_tenant(state, tenant, bytes as isize);
    }

    /// Cancels a reservation of `bytes`, at most what is reserved for the connection.
    pub fn cancel_reservation(
        &mut self,
        state: ConnectionState,
        tenant: usize,
        share: &mut BufferShare,
        bytes: usize,
    ) {
        let bytes = bytes.min(share.reserved);
        share.reserved -= bytes;
        self.reserved_by_state[state as usize] -= bytes;
        self.charge_tenant(state, tenant, -(bytes as isize));
    }

    /// Moves the bytes of a connection from its old state and tenant to its new ones.
    pub fn on_state_changed(
        &mut self,
        (old_state, old_tenant): (ConnectionState, usize),
        (new_state, new_tenant): (ConnectionState, usize),
        share: &BufferShare,
    ) {
        for (totals, bytes) in [
            (&mut self.held_by_state, share.held),
            (&mut self.reserved_by_state, share.reserved),
        ] {
            totals[old_state as usize] -= bytes;
            totals[new_state as usize] += bytes;
        }
        let bytes = (share.held + share.reserved) as isize;
        self.charge_tenant(old_state, old_tenant, -bytes);
        self.charge_tenant(new_state, new_tenant, bytes);
    }

    fn charge_tenant(&mut self, state: ConnectionState, tenant: usize, bytes: isize) {
        if state != ConnectionState::Proven {
            let charged = &mut self.tenant_bytes[tenant];
            *charged = charged.saturating_add_signed(bytes);
        }
    }

    /// Bytes held for all connections.
    pub fn held(&self) -> usize {
        self.held_by_state.iter().sum()
    }

    /// Bytes reserved for all connections.
    pub fn reserved(&self) -> usize {
        self.reserved_by_state.iter().sum()
    }

    /// Bytes held or reserved for the connections of a tenant that are not proven.
    pub fn tenant_bytes(&self, tenant: usize) -> usize {
        self.tenant_bytes[tenant]
    }

    /// Highest number of bytes held at once since the start.
    pub fn peak(&self) -> usize {
        self.peak
    }
}
