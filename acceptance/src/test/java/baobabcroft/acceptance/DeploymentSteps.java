package baobabcroft.acceptance;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;

/** Steps that start and strike instances and the systems around them. */
public final class DeploymentSteps {
    private final Deployment deployment;

    /** Takes the deployment of the scenario. */
    public DeploymentSteps(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Ends what the scenario started. */
    @After
    public void stop() {
        deployment.stop();
    }

    @Given("{int} instances")
    public void instances(int count) {
        deployment.start(count);
    }

    @Given("the instances have been listed for longer than the list may lag")
    public void listSettled() {
        deployment.awaitListSettled();
    }

    @Given("the service takes {long} ms for an operation")
    public void serviceTakes(long millis) {
        deployment.standins().services().values().forEach(service -> service.setServiceMillis(millis));
    }

    @Given("the engines take {double} times as long")
    public void enginesTake(double factor) {
        deployment.standins().engines().values().forEach(engine -> engine.setSlowFactor(factor));
    }

    @When("instance {int} is killed")
    public void kill(int number) {
        deployment.instance(number).kill();
    }

    @When("instance {int} is frozen")
    public void freeze(int number) {
        deployment.instance(number).signal("STOP");
    }

    @When("instance {int} wakes")
    public void wake(int number) {
        deployment.instance(number).signal("CONT");
    }

    @When("instance {int} is told to stop")
    public void terminate(int number) {
        deployment.instance(number).signal("TERM");
    }

    @When("a new process takes the place of instance {int}")
    public void replace(int number) {
        deployment.startProcess(deployment.instance(number));
        deployment.awaitOk(deployment.instance(number), "/readyz");
    }

    @When("the store goes down")
    public void storeDown() {
        deployment.standins().keyValue().down();
    }
}
