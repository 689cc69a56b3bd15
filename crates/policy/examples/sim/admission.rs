//! Path of a call through an instance: rate limit, queue, routing.

use poplarspan_policy::rate::*;
use poplarspan_policy::route::*;

use super::world::{Call, DEADLINE_US, Event, START_US, World};
use super::{Policy, us};

impl World {
    pub(super) fn team(&self, call: usize) -> usize {
        self.programs[self.chains[self.calls[call].chain].program].team
    }

    pub(super) fn arrive(&mut self, call: usize) {
        let team = self.team(call);
        let limit = &self.limits[team];
        let (level, at) = &mut self.reference_buckets[team];
        let accrued = (self.now - *at) as f64 / 1e6 * limit.per_second();
        *level = (*level + accrued).min(f64::from(limit.burst()));
        *at = self.now;
        let within_rate = *level >= 1.0;
        *level -= f64::from(u8::from(within_rate));
        self.calls[call].within_rate = within_rate;
        self.measures.calls += 1;
        self.measures.calls_within_rate += u64::from(within_rate);
        let (i, group) = (self.calls[call].instance, self.calls[call].group);
        let deadline = self.now + DEADLINE_US[group];
        match self.instances[i].shares[team].acquire(us(deadline), us(self.now)) {
            Admission::Granted(_) => self.admitted(call),
            Admission::Refused { retry_after } => {
                self.refused(call, retry_after.as_micros() as u64);
            }
            Admission::Wait(ticket) => {
                self.tickets.insert((i, team, ticket), call);
                self.schedule(deadline, Event::Expire(i, team));
            }
        }
        self.schedule_poll(i, team);
    }

    pub(super) fn schedule_poll(&mut self, i: usize, team: usize) {
        let this = &mut self.instances[i];
        let Some(at) = this.shares[team].next_poll(us(self.now)) else { return };
        let at = (at.as_micros() as u64 + 1).max(self.now);
        if this.polls[team].is_none_or(|scheduled| at < scheduled) {
            this.polls[team] = Some(at);
            self.schedule(at, Event::Poll(i, team));
        }
    }

    pub(super) fn poll(&mut self, i: usize, team: usize) {
        if self.instances[i].polls[team] != Some(self.now) {
            return;
        }
        self.instances[i].polls[team] = None;
        if let Some(ask) = self.instances[i].shares[team].poll(us(self.now)) {
            if self.policy == Policy::LocalLimits {
                let id = GrantId { session: 1, number: self.sequence };
                let grant = self.local_buckets[i][team].request(id, &ask, us(self.now));
                let decided = self.instances[i].shares[team].on_grant(ask.id, &grant, us(self.now));
                self.decide(i, team, decided);
            } else {
                let owner = self.instances[i].owners.owner(&self.teams[team]).expect("an owner");
                let to: usize = owner[1..].parse().expect("a number");
                let at = self.now + if to == i { 0 } else { self.delay(i, to) };
                self.schedule(at, Event::RequestTokens(to, i, team, ask));
            }
        }
        self.schedule_poll(i, team);
    }

    pub(super) fn decide(&mut self, i: usize, team: usize, decided: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in decided {
            let call = self.tickets.remove(&(i, team, ticket)).expect("a waiting call");
            match verdict {
                Verdict::Granted(_) => self.admitted(call),
                Verdict::Refused { retry_after } => {
                    self.refused(call, retry_after.as_micros() as u64);
                }
            }
        }
    }

    pub(super) fn refused(&mut self, call: usize, retry_after: u64) {
        self.measures.refused_within_rate += u64::from(self.calls[call].within_rate);
        let (chain, group) = (self.calls[call].chain, self.calls[call].group);
        self.call(chain, group, retry_after.max(100_000));
    }

    pub(super) fn admitted(&mut self, call: usize) {
        let Call { chain, group, instance, arrived, .. } = self.calls[call];
        let (team, c) = (self.team(call), &self.chains[chain]);
        let cost = if group == 1 { 1 } else { u64::from(c.turns[c.next].output_tokens) * 10 };
        let queued = poplarspan_policy::fair::Call {
            team: self.teams[team].clone(),
            weight: 1,
            program: Some(c.root.clone()),
            cost,
            deadline: us(arrived + DEADLINE_US[group]),
            payload: call,
        };
        self.instances[instance].push(group, team, queued, self.now);
        self.dispatch_queued(instance, group);
    }

    pub(super) fn dispatch_queued(&mut self, i: usize, group: usize) {
        for entry in self.instances[i].queues[group].expire(us(self.now)) {
            self.refused(entry.call.payload, 100_000);
        }
        loop {
            let this = &mut self.instances[i];
            let Some(entry) = this.next(group, self.now) else {
                return;
            };
            let (call, cost) = (entry.call.payload, entry.call.cost);
            let c = &self.chains[self.calls[call].chain];
            let (blocks, tokens): (&[u64], _) =
                if group == 0 { (&c.blocks, c.tokens) } else { (&[], 0) };
            let last = c.last.filter(|_| group == 0);
            let Ok(endpoint) = this.choose(group, blocks, tokens, last, &mut self.rng) else {
                this.queues[group].put_back(entry, &mut this.limits[group], us(self.now));
                return;
            };
            let id = EndpointId(endpoint as u32);
            this.fleet.call_started(id, us(self.now));
            this.prefixes.record_dispatch(id, blocks, us(self.now));
            let third = (self.scenario.duration_s * 1e6 / 3.0) as u64;
            let outage = START_US + third + 2_000_000..START_US + 2 * third;
            if self.scenario.zone_outage && outage.contains(&self.now) {
                self.measures.calls_to_disabled_zone +=
                    u64::from(self.endpoints[endpoint].zone == 0);
            }
            self.calls[call].endpoint = endpoint;
            self.calls[call].dispatched = self.now;
            if group == 0 {
                let team = self.team(call);
                let name = &self.teams[team];
                self.calls[call].priority = self.instances[i].priority(team, name, cost, self.now);
            }
            let at = self.now + self.delay(i, self.endpoints[endpoint].zone);
            self.schedule(at, Event::AtEndpoint(call));
        }
    }
}
