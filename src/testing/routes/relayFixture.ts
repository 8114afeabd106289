/**
 * A relay in tests, which passes requests on through real connections.
 */
import * as random from "../../common/random.js";
import * as routes from "../../common/routes/Types.js";
import * as connectionPool from "../../node/routes/connectionPool.js";
import * as peerRelay from "../../node/routes/peerRelay.js";
import * as targetSender from "../../node/routes/targetSender.js";
import * as systemScheduler from "../../node/systemScheduler.js";
import * as silentLogger from "../silentLogger.js";
import * as fixture from "./fixture.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });

/**
 * Creates a relay.
 *
 * @param peers - the other VMs, all of them active
 * @returns the relay, and a function that closes its connections
 */
export const createRelay = (
    peers: readonly routes.Peer[],
): { readonly relay: peerRelay.PeerRelay; dispose(): void } => {
    const pool = connectionPool.createConnectionPool({ scheduler, dialect: fixture.testDialect });
    const relay = peerRelay.createPeerRelay({
        scheduler,
        logger: silentLogger.createSilentLogger(),
        random: random.createRandom(1),
        zone: fixture.zone,
        metrics: { recordRelay: () => undefined },
        sender: targetSender.createTargetSender({
            pool,
            dialect: fixture.testDialect,
            scheduler,
            handleHead: () => undefined,
        }),
        listPeers: () => peers,
        listActiveVms: () => peers,
    });
    return { relay, dispose: pool.dispose };
};
