"""Translation between endivevane and the platform that it is deployed on."""
