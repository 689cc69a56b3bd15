//! Fractions of the classes of programs that may begin while more arrive than may.

use super::{ClassArrivals, MAX_CLASSES, ProgramClass, RateAverage};

/// Time constant of the current arrivals, in seconds: within a burst of 4 to 6 s, but long enough
/// for a few arrivals of each class.
const CURRENT_SECONDS: f64 = 0.75;
/// Time constant of the usual arrivals, in seconds: ten times a burst.
const USUAL_SECONDS: f64 = 60.0;
/// Usual arrivals of a team as a fraction of an equal share, at least. A new team may begin.
const MIN_SHARE: f64 = 0.25;
/// Factor of a route for each step in priority.
const PRIORITY_FACTOR: f64 = 0.8;
/// Minimum factor of a route relative to the one served best. Callers need a quarter; the rest is
/// for late views.
const MIN_ROUTE_FACTOR: f64 = 0.4;
/// Rounds in which the fractions are fitted to the rate; each one saturates at least one class.
const FIT_ROUNDS: usize = 8;

#[derive(Clone, Debug)]
struct ClassState {
    class: ProgramClass,
    priority: u8,
    arrived: f64,
    current: RateAverage,
    usual: RateAverage,
}

/// Arrivals of all classes.
#[derive(Clone, Debug, Default)]
pub(super) struct Classes {
    /// Sorted by class.
    classes: Vec<ClassState>,
    /// Seconds since the first arrival.
    age: f64,
}

impl Classes {
    /// Records arrivals that a front reports. Classes above the maximum are not told apart.
    pub(super) fn record(&mut self, arrivals: &[ClassArrivals]) {
        for a in arrivals {
            match self.classes.binary_search_by(|c| c.class.cmp(&a.class)) {
                Ok(at) => {
                    self.classes[at].arrived += f64::from(a.arrived);
                    self.classes[at].priority = a.priority;
                }
                Err(_) if self.classes.len() >= MAX_CLASSES => {}
                Err(at) => {
                    // A class that appears late was silent before.
                    let covered = self.age.min(USUAL_SECONDS);
                    let usual = RateAverage { covered, ..RateAverage::new(USUAL_SECONDS) };
                    let new = ClassState {
                        class: a.class.clone(),
                        priority: a.priority,
                        arrived: f64::from(a.arrived),
                        current: RateAverage::new(CURRENT_SECONDS),
                        usual,
                    };
                    self.classes.insert(at, new);
                }
            }
        }
    }

    /// Advances the averages by `elapsed` seconds.
    pub(super) fn advance(&mut self, elapsed: f64) {
        self.age += elapsed;
        for class in &mut self.classes {
            let count = std::mem::take(&mut class.arrived);
            class.current.update(count, elapsed);
            class.usual.update(count, elapsed);
        }
    }

    /// Drops classes that hardly ever arrive, to make room for others.
    pub(super) fn prune(&mut self) {
        if self.classes.len() >= MAX_CLASSES {
            let rate = |c: &ClassState| c.current.per_second.max(c.usual.per_second);
            self.classes.retain(|c| rate(c) * USUAL_SECONDS > 1.0);
        }
    }

    /// Arrivals per second of all classes.
    pub(super) fn arrivals(&self) -> f64 {
        self.classes.iter().map(|c| c.current.per_second).sum()
    }

    /// Fractions with which programs begin at `rate` per second; only those below 1.
    pub(super) fn fractions(&self, rate: f64) -> Vec<(ProgramClass, f64)> {
        if self.arrivals() <= rate {
            return Vec::new();
        }
        let weights = self.weights();
        let mut scale = 1.0;
        // Raises the common scale until the classes below their arrivals use up the rate.
        for _ in 0..FIT_ROUNDS {
            let (mut fixed, mut scaled) = (0.0, 0.0);
            for (class, weight) in self.classes.iter().zip(&weights) {
                let rate = class.current.per_second;
                if scale * weight >= 1.0 { fixed += rate } else { scaled += rate * weight }
            }
            if scaled <= 0.0 {
                break;
            }
            scale = ((rate - fixed) / scaled).max(0.0);
        }
        let fraction = |(class, weight): (&ClassState, &f64)| {
            let fraction = (scale * weight).min(1.0);
            (fraction < 1.0).then(|| (class.class.clone(), fraction))
        };
        self.classes.iter().zip(&weights).filter_map(fraction).collect()
    }

    /// Relative fraction of each class: that of its team, lowered as the team exceeds its usual
    /// arrivals, times that of its route.
    fn weights(&self) -> Vec<f64> {
        let teams = distinct(self.classes.iter().map(|c| &c.class.team));
        let routes = distinct(self.classes.iter().map(|c| &c.class.route));
        let sum = |of: &dyn Fn(&ClassState) -> bool| {
            let of_name = self.classes.iter().filter(|c| of(c));
            of_name.fold((0.0, 0.0), |(now, usual), c| {
                (now + c.current.per_second, usual + c.usual.per_second)
            })
        };
        let all = sum(&|_| true).1;
        let factor = |now: f64, usual: f64, least: f64| {
            if now > 0.0 { (usual.max(least) / now).min(1.0) } else { 1.0 }
        };
        let team_least = MIN_SHARE * all / teams.len().max(1) as f64;
        let team_factors: Vec<f64> = teams
            .iter()
            .map(|name| {
                let (now, usual) = sum(&|c| c.class.team == **name);
                factor(now, usual, team_least)
            })
            .collect();
        let mut route_factors: Vec<f64> = routes
            .iter()
            .map(|name| {
                let (now, usual) = sum(&|c| c.class.route == **name);
                factor(now, usual, 0.0)
            })
            .collect();
        let best = route_factors.iter().copied().fold(0.0, f64::max);
        for factor in &mut route_factors {
            *factor = factor.max(MIN_ROUTE_FACTOR * best);
        }
        let least_urgent = MIN_ROUTE_FACTOR;
        let weight = |c: &ClassState| {
            let team = teams.binary_search(&&c.class.team).expect("the list has every team");
            let route = routes.binary_search(&&c.class.route).expect("the list has every route");
            let priority = PRIORITY_FACTOR.powi(i32::from(c.priority)).max(least_urgent);
            let route = (route_factors[route] * priority).max(MIN_ROUTE_FACTOR * best);
            team_factors[team] * route
        };
        self.classes.iter().map(weight).collect()
    }
}

fn distinct<'a>(names: impl Iterator<Item = &'a crate::Name>) -> Vec<&'a crate::Name> {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    names.dedup();
    names
}
