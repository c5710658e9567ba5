/** Generated wire types of {@code baobabcroft.billing}; see the .proto file of the same name. */
package baobabcroft.billing.proto;
