//! Divides the rate of a team, 20/s with a burst of 10, between two instances. One of them owns the
//! bucket, both request tokens from it, and together they stay within the rate and burst.

use std::time::Duration;

use poplarspan_policy::Name;
use poplarspan_policy::rate::{
    Admission, Answer, InstanceBucket, InstanceBucketConfig, Limit, MAX_VALIDITY, MIN_VALIDITY,
    OwnedBuckets, Verdict, View, owner_of,
};

const STEP: Duration = Duration::from_millis(5);
const RUN: Duration = Duration::from_secs(5);
/// Duration of membership leases.
const LEASE: Duration = Duration::from_secs(2);

fn main() {
    let team = Name::from("red");
    let limit = Limit::new(20.0, 10);
    let instances: Vec<Name> = vec!["i1".into(), "i2".into()];
    let owner = owner_of(&team, &instances).expect("two instances").clone();
    println!("{owner} owns the bucket of {team}");

    // The session must differ from that of any former process of the instance.
    let mut owners = OwnedBuckets::new(owner, 1, LEASE, MIN_VALIDITY);
    owners.observe_view(&View { epoch: 1, instances: instances.clone() }, Duration::ZERO);
    let new_share =
        |name: &Name| InstanceBucket::new(name.clone(), limit, InstanceBucketConfig::default());
    let mut shares: Vec<_> = instances.iter().map(new_share).collect();

    // A new owner grants nothing until all grants of a former owner have expired. Its bucket is
    // then empty, so the total stays below the bound by one burst.
    let start = LEASE + MAX_VALIDITY;
    let (mut admitted, mut refused) = ([0; 2], [0; 2]);
    let mut now = start;
    while now < start + RUN {
        for (i, share) in shares.iter_mut().enumerate() {
            // One call every 20 ms at each instance: 100/s together. A call waits for 200 ms at
            // most.
            if (now - start).as_millis().is_multiple_of(20) {
                match share.acquire(now + Duration::from_millis(200), now) {
                    Admission::Granted(_) => admitted[i] += 1,
                    Admission::Refused { .. } => refused[i] += 1,
                    Admission::Wait(_) => {}
                }
            }
            let mut verdicts = share.expire(now);
            // In a deployment, the request and its answer are sent over the network.
            if let Some(ask) = share.poll(now)
                && let Answer::Granted(grant) = owners.request(&team, limit, &ask, now)
            {
                verdicts.extend(share.on_grant(ask.id, &grant, now));
            }
            for (_, verdict) in verdicts {
                match verdict {
                    Verdict::Granted(_) => admitted[i] += 1,
                    Verdict::Refused { .. } => refused[i] += 1,
                }
            }
        }
        now += STEP;
    }
    let bound = f64::from(limit.burst()) + limit.per_second() * RUN.as_secs_f64();
    for (name, (admitted, refused)) in instances.iter().zip(admitted.iter().zip(refused)) {
        println!("{name}: {admitted} admitted, {refused} refused");
    }
    println!("together {}, bound {bound}", admitted.iter().sum::<u32>());
}
