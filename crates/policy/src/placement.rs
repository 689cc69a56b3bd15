//! Placement of models on endpoints according to demand.
//!
//! The number of endpoints that should hold a model is its demand (in calls in flight and waiting)
//! divided by the capacity of one endpoint at [`PlacementConfig::target_utilization`], and at least
//! one. Loads are limited by the rate of the weight store (in bytes per second). A model that is on
//! more endpoints than it needs for [`PlacementConfig::scale_in_delay`] is drained from one of
//! them, and unloaded there once no call of it runs.
//!
//! Every order carries a fencing token that is higher than that of any earlier order: the term of
//! the planner in the upper 32 bits, a counter in the lower. Some endpoints ignore it, so a planner
//! must also check its lease before it sends an order.
//!
//! The planner runs on the leader of group 0. A successor has a higher term, learns from the hosts'
//! reports what is loaded, and repeats orders that had no effect.

use std::time::Duration;

use crate::Name;

/// Parameters of a [`Placement`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// Fraction of the capacity that demand should use.
    pub target_utilization: f64,
    /// Rate of the weight store in bytes per second.
    pub store_bytes_per_s: f64,
    /// Burst of the weight store in bytes.
    pub store_burst_bytes: f64,
    /// Time for which a model must be on too many endpoints before it is drained from one.
    pub scale_in_delay: Duration,
    /// Time after which a load order that had no effect is repeated.
    pub load_timeout: Duration,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            target_utilization: 0.7,
            store_bytes_per_s: 1e9,
            store_burst_bytes: 200e9,
            scale_in_delay: Duration::from_secs(120),
            load_timeout: Duration::from_secs(300),
        }
    }
}

/// Demand for a model.
#[derive(Clone, Debug)]
pub struct ModelDemand {
    /// The model.
    pub model: Name,
    /// Calls in flight and waiting, as a moving average.
    pub calls: f64,
    /// Size of its weights in bytes.
    pub bytes: f64,
}

/// A model on a host.
#[derive(Clone, Debug)]
pub struct LoadedModel {
    /// The model.
    pub model: Name,
    /// Calls of the model in flight on the host.
    pub in_flight: u32,
}

/// An endpoint that can hold models.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Maximum number of concurrent calls.
    pub capacity: u32,
    /// Maximum number of models.
    pub max_models: usize,
    /// Models that are loaded.
    pub loaded: Vec<LoadedModel>,
    /// Whether the endpoint may receive new work.
    pub available: bool,
}

/// Action of an [`Order`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load the model.
    Load,
    /// Send no more calls of the model to the endpoint. Addressed to the instances.
    Drain,
    /// Unload the model.
    Unload,
}

/// An order to an endpoint or, for [`Action::Drain`], to the instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: Name,
    /// The model.
    pub model: Name,
    /// The action.
    pub action: Action,
    /// Fencing token.
    pub fencing_token: u64,
}

/// Planner of model placement.
#[derive(Debug)]
pub struct Placement {
    cfg: PlacementConfig,
    fencing_token: u64,
    store_bytes_available: f64,
    updated_at: Duration,
    /// Endpoint, model and time of each load order without an effect yet.
    loading: Vec<(Name, Name, Duration)>,
    /// Endpoint and model.
    draining: Vec<(Name, Name)>,
    /// Models on too many endpoints, and since when.
    overprovisioned: Vec<(Name, Duration)>,
}

impl Placement {
    /// Returns a planner for a leader elected in `term`.
    pub fn new(cfg: PlacementConfig, term: u32, now: Duration) -> Self {
        Self {
            cfg,
            fencing_token: u64::from(term) << 32,
            store_bytes_available: 0.0,
            updated_at: now,
            loading: Vec::new(),
            draining: Vec::new(),
            overprovisioned: Vec::new(),
        }
    }

    /// Returns whether `endpoint` must not receive new calls of `model`.
    pub fn is_draining(&self, endpoint: &Name, model: &Name) -> bool {
        self.draining.iter().any(|(e, m)| e == endpoint && m == model)
    }

    /// Returns the orders to send at `now`.
    pub fn plan(&mut self, demand: &[ModelDemand], hosts: &[Host], now: Duration) -> Vec<Order> {
        let accrued =
            now.saturating_sub(self.updated_at).as_secs_f64() * self.cfg.store_bytes_per_s;
        self.store_bytes_available =
            (self.store_bytes_available + accrued).min(self.cfg.store_burst_bytes);
        self.updated_at = self.updated_at.max(now);
        let timeout = self.cfg.load_timeout;
        self.loading.retain(|(e, m, at)| !has_model(hosts, e, m) && now < *at + timeout);
        self.draining.retain(|(e, m)| has_model(hosts, e, m));
        let mut orders = Vec::new();
        self.unload_drained(hosts, &mut orders);
        let mut by_demand: Vec<&ModelDemand> = demand.iter().collect();
        by_demand.sort_by(|a, b| b.calls.total_cmp(&a.calls));
        for demand in by_demand {
            self.plan_model(demand, hosts, now, &mut orders);
        }
        orders
    }

    fn unload_drained(&mut self, hosts: &[Host], orders: &mut Vec<Order>) {
        for (endpoint, model) in self.draining.clone() {
            let host = hosts.iter().find(|h| h.endpoint == endpoint);
            let loaded = host.and_then(|h| h.loaded.iter().find(|l| l.model == model));
            if loaded.is_some_and(|l| l.in_flight == 0) {
                orders.push(self.new_order(&endpoint, &model, Action::Unload));
            }
        }
    }

    fn plan_model(
        &mut self,
        demand: &ModelDemand,
        hosts: &[Host],
        now: Duration,
        orders: &mut Vec<Order>,
    ) {
        let model = &demand.model;
        let serving: Vec<&Host> = hosts
            .iter()
            .filter(|h| h.available && has_model(hosts, &h.endpoint, model))
            .filter(|h| !self.is_draining(&h.endpoint, model))
            .collect();
        let loading = self.loading.iter().filter(|(_, m, _)| m == model).count();
        let capacity = hosts.iter().map(|h| h.capacity).max().unwrap_or(1).max(1);
        let per_host = f64::from(capacity) * self.cfg.target_utilization;
        let needed = ((demand.calls / per_host).ceil() as usize).max(1);
        let available = serving.len() + loading;
        if available < needed {
            self.overprovisioned.retain(|(m, _)| m != model);
            self.load(demand, hosts, now, orders);
        } else if serving.len() > needed {
            self.scale_in(model, &serving, now, orders);
        } else {
            self.overprovisioned.retain(|(m, _)| m != model);
        }
    }

    /// Orders at most one load of the model, if the weight store's rate allows it.
    fn load(
        &mut self,
        demand: &ModelDemand,
        hosts: &[Host],
        now: Duration,
        orders: &mut Vec<Order>,
    ) {
        // A model that is larger than the burst is loaded once the full burst is available.
        let cost = demand.bytes.min(self.cfg.store_burst_bytes);
        let busy = |h: &Host| self.loading.iter().filter(|(e, ..)| *e == h.endpoint).count();
        let room = |h: &Host| h.max_models.saturating_sub(h.loaded.len() + busy(h));
        let fits = |h: &&Host| {
            h.available
                && busy(h) == 0
                && room(h) > 0
                && !has_model(hosts, &h.endpoint, &demand.model)
        };
        let Some(host) = hosts.iter().filter(fits).max_by_key(|h| room(h)) else { return };
        if self.store_bytes_available >= cost {
            self.store_bytes_available -= cost;
            let (endpoint, model) = (host.endpoint.clone(), demand.model.clone());
            orders.push(self.new_order(&endpoint, &model, Action::Load));
            self.loading.push((endpoint, model, now));
        }
    }

    fn scale_in(
        &mut self,
        model: &Name,
        serving: &[&Host],
        now: Duration,
        orders: &mut Vec<Order>,
    ) {
        let Some((_, since)) = self.overprovisioned.iter().find(|(m, _)| m == model) else {
            self.overprovisioned.push((model.clone(), now));
            return;
        };
        if now < *since + self.cfg.scale_in_delay {
            return;
        }
        self.overprovisioned.retain(|(m, _)| m != model);
        let in_flight = |h: &&&Host| h.loaded.iter().map(|l| l.in_flight).sum::<u32>();
        if let Some(host) = serving.iter().min_by_key(in_flight) {
            self.draining.push((host.endpoint.clone(), model.clone()));
            let endpoint = host.endpoint.clone();
            orders.push(self.new_order(&endpoint, model, Action::Drain));
        }
    }

    fn new_order(&mut self, endpoint: &Name, model: &Name, action: Action) -> Order {
        self.fencing_token += 1;
        Order {
            endpoint: endpoint.clone(),
            model: model.clone(),
            action,
            fencing_token: self.fencing_token,
        }
    }
}

fn has_model(hosts: &[Host], endpoint: &Name, model: &Name) -> bool {
    let host = hosts.iter().find(|h| h.endpoint == *endpoint);
    host.is_some_and(|h| h.loaded.iter().any(|l| l.model == *model))
}
