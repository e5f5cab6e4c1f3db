"""The dispatcher of this project, whole, in one place, and with a module off."""

from collections.abc import Sequence
from typing import ClassVar

from cassiaturn.bench._dispatcher import Dispatcher, dispatcher
from cassiaturn.bench._instance import Instance
from cassiaturn.bench._modules import Modules
from cassiaturn.bench._runner import FakeRunner, JobRun
from cassiaturn.bench._world import World
from cassiaturn.policy import PlacementSettings, PolicySettings

WITHOUT_SPARE = PolicySettings(placement=PlacementSettings(spare_share_by_class={}))
"""No slots are kept for higher classes."""


@dispatcher("cassiaturn")
class Cassiaturn(Dispatcher):
    """Instances that each hold the targets of their failure domain in part."""

    modules: ClassVar[Modules] = Modules()

    def __init__(self, *, world: World) -> None:
        super().__init__(world=world)
        groups = self._runners_by_instance()
        self._instances = [
            Instance(
                index=index,
                world=world,
                modules=self.modules,
                runners=runners,
                instances=len(groups),
            )
            for index, runners in enumerate(groups)
        ]
        for instance in self._instances:
            instance.connect(self._instances)

    def submit(self, run: JobRun) -> None:
        """Hand a job to the instance that its caller reaches."""
        self._home_of(run).submit(run)

    def withdraw(self, run: JobRun) -> None:
        """Drop an answered job at its home."""
        self._home_of(run).withdraw(run)

    def _home_of(self, run: JobRun) -> Instance:
        return self._instances[run.job.instance % len(self._instances)]

    def _runners_by_instance(self) -> Sequence[Sequence[FakeRunner]]:
        # Targets of a failure domain are dealt evenly to its instances, which is
        # what a rendezvous hash gives on average.
        deployment = self.world.deployment
        groups: list[list[FakeRunner]] = [[] for _ in range(deployment.instances)]
        for domain in deployment.failure_domains:
            members = [
                index
                for index in range(deployment.instances)
                if deployment.domain_of(index) == domain
            ]
            runners = [
                runner
                for runner in self.world.runners
                if runner.failure_domain == domain
            ]
            for position, runner in enumerate(runners):
                groups[members[position % len(members)]].append(runner)
        return groups


@dispatcher("exact")
class ExactCentralQueue(Cassiaturn):
    """The same decisions in one queue that sees every slot without a message."""

    is_one_place = True
    modules = Modules(settings=WITHOUT_SPARE)

    def _runners_by_instance(self) -> Sequence[Sequence[FakeRunner]]:
        return [self.world.runners]


@dispatcher("without-admission")
class WithoutAdmission(Cassiaturn):
    """Admits everything."""

    modules = Modules(admission=False)


@dispatcher("without-fair-order")
class WithoutFairOrder(Cassiaturn):
    """Starts tasks in order of arrival."""

    modules = Modules(fair_order=False)


@dispatcher("without-spill")
class WithoutSpill(Cassiaturn):
    """Runs tasks on their own instance's targets only, spare slots included."""

    modules = Modules(spill=False, settings=WITHOUT_SPARE)


@dispatcher("without-spare")
class WithoutSpare(Cassiaturn):
    """Lets any class take the last free slots."""

    modules = Modules(settings=WITHOUT_SPARE)


@dispatcher("without-health")
class WithoutHealth(Cassiaturn):
    """Ejects no target."""

    modules = Modules(health=False)


@dispatcher("without-retries")
class WithoutRetries(Cassiaturn):
    """Fails a job with its first failed task."""

    modules = Modules(retries=False)


@dispatcher("with-hard-quota")
class WithHardQuota(Cassiaturn):
    """Starts nothing of a tenant beyond its share of slots."""

    modules = Modules(hard_quota=True)


@dispatcher("without-notices")
class WithoutNotices(Cassiaturn):
    """Tells no peer of free slots but on heartbeats and other messages."""

    modules = Modules(notices=False)
