/**
 * Runs real instances between stand-ins, disturbs them from outside, and judges by what callers and endpoints have
 * seen. {@link baobabcroft.soak.SoakMain} is the command, {@link baobabcroft.soak.Rig} the processes and stand-ins,
 * {@link baobabcroft.soak.FaultPlan} what happens to them, {@link baobabcroft.soak.Oracle} the judgement.
 */
package baobabcroft.soak;
