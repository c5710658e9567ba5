package baobabcroft.acceptance;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;

/** Steps that start the deployment and inject faults into instances, the store, the engines and the service. */
public final class DeploymentSteps {
    private final Deployment deployment;

    /** Receives the scenario's deployment from Cucumber. */
    public DeploymentSteps(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Stops the processes and stand-ins of the scenario. */
    @After
    public void stop() {
        deployment.stop();
    }

    @Given("{int} instances")
    public void instances(int count) {
        deployment.start(count);
    }

    @Given("the instances have been listed for longer than the maximum lag of the live list")
    public void awaitListSettled() {
        deployment.awaitListSettled();
    }

    @Given("the service takes {long} ms per operation")
    public void setServiceMillis(long millis) {
        deployment.standins().services().values().forEach(service -> service.setServiceMillis(millis));
    }

    @Given("the engines are slowed down by a factor of {double}")
    public void slowEnginesDown(double factor) {
        deployment.standins().engines().values().forEach(engine -> engine.setSlowFactor(factor));
    }

    @When("instance {int} is killed")
    public void kill(int number) {
        deployment.instance(number).kill();
    }

    @When("instance {int} is suspended")
    public void suspend(int number) {
        deployment.instance(number).signal("STOP");
    }

    @When("instance {int} is resumed")
    public void resume(int number) {
        deployment.instance(number).signal("CONT");
    }

    @When("instance {int} receives SIGTERM")
    public void terminate(int number) {
        deployment.instance(number).signal("TERM");
    }

    @When("instance {int} is restarted")
    public void restart(int number) {
        deployment.startProcess(deployment.instance(number));
        deployment.awaitOk(deployment.instance(number), "/readyz");
    }

    @When("the store becomes unavailable")
    public void makeStoreUnavailable() {
        deployment.standins().keyValue().down();
    }
}
