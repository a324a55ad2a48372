# During an outage of the platform, an instance joins and a version spreads that
# was accepted right before the outage.
net=73
. "$(dirname "$0")/begin.sh"
begin
write_text 20
op submit "$lab/text" | cut -d, -f1
fault outage=1
await 60 is_version_in_force 2 && echo "version 2 is in force"
target d5 5 desk 40 4
await 60 has_active_agents 5 && echo "5 agents are active"
stop balancer2 KILL
balancer 2
await 60 is_version_in_force 2 && echo "version 2 is in force after a restart"
write_text 30
op submit "$lab/text"
echo "exit $?"
fault outage=0
op submit "$lab/text" | cut -d, -f1
await 60 is_version_in_force 3 && echo "version 3 is in force"
